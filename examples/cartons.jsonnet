// Carton previews in three rooms: a front proxy for each client process, no probes, no cap on messages.
local parts = import 'parts.libsonnet';
local zones = ['zaal-a', 'zaal-b', 'zaal-c'];
{
  name: 'steward-1',
  zones: zones,
  kinds: [
    parts.kind('preview', '1.5 s', '4 s', 3, 'replayable'),
    parts.kind('price', '1.5 s', '5 s', 2, 'replayable'),
  ],
  proxies: parts.proxies(zones, 0, 7, 14),
  hosts_file: 'cartons.hosts.jsonnet',
  channel: { lines_per_second: 20000, most_waiting: 40000, message_cap: 0, message_window: '10 s' },
  cold: { start_share: 0.21, warm_within: '18 s' },
  crossing_price: 0.06,
  runtime_api: [{ listen: 'unix:/run/pondarch/admin.sock', level: 'admin' }],
}
