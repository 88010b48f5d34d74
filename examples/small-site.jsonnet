// One zone, four proxies, six hosts, one steward: the least that makes sense.
local parts = import 'parts.libsonnet';
local zones = ['werkplaats'];
{
  name: 'steward-1',
  zones: zones,
  kinds: [parts.kind('proof', '1500 ms', '4 s', 1, 'replayable')],
  proxies: parts.proxies(zones, 0, 3, 5),
  hosts_file: 'small-site.hosts.jsonnet',
  channel: { lines_per_second: 2000, most_waiting: 2000, message_cap: 20, message_window: '10 s' },
  cold: { start_share: 0.2, warm_within: '20 s' },
  probes: { path: '/health', time_limit: '400 ms', load_every: '2 s' },
  records: { folder: '/var/lib/pondarch/steward-1' },
  runtime_api: [
    { listen: 'unix:/run/pondarch/admin.sock', level: 'admin' },
    { listen: '127.0.0.1:9950', level: 'user' },
  ],
}
