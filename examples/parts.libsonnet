// Parts that the examples share.
{
  // Front proxies `first` to `last`, dealt over the zones in turn, each with a socket of its own.
  proxies(zones, first, last, rate):: [
    {
      name: 'front-%d' % n,
      zone: zones[n % std.length(zones)],
      runtime: 'unix:/run/front/front-%d.sock' % n,
      usual_rate: rate,
    }
    for n in std.range(first, last)
  ],

  // Hosts `first` to `last` over the zones in turn, racks of `rack` hosts.
  hosts(zones, first, last, rack, extra={}):: [
    {
      local zone = zones[n % std.length(zones)],
      name: '%s-%d' % [zone, n],
      address: '127.0.%d.%d:8080' % [1 + std.floor(n / 200), 1 + n % 200],
      zone: zone,
      rack: '%s-rack-%d' % [zone, std.floor(n / (rack * std.length(zones)))],
    } + extra
    for n in std.range(first, last)
  ],

  kind(name, target, timeout, benefit, repeats):: {
    name: name,
    response_target: target,
    client_timeout: timeout,
    benefit: benefit,
    repeats: repeats,
  },
}
