// Label portals at four sites: proxies pick the idler of two; writes carry a mark against repeats.
local parts = import 'parts.libsonnet';
local zones = ['kas-1', 'kas-2', 'kas-3', 'veiling'];
{
  name: 'steward-1',
  zones: zones,
  kinds: [
    parts.kind('proof-render', '1 s', '2.5 s', 1, 'replayable'),
    parts.kind('label-reorder', '400 ms', '1.2 s', 2, 'uniqued'),
  ],
  proxies: parts.proxies(zones, 0, 19, 8),
  hosts_file: 'labels.hosts.jsonnet',
  channel: { lines_per_second: 11000, most_waiting: 11000, lines_per_message: 6, message_cap: 20, message_window: '10 s' },
  cold: { start_share: 0.17, warm_within: '17 s' },
  probes: { path: '/health', time_limit: '300 ms', load_every: '1 s' },
  crossing_price: 0.06,
  runtime_api: [{ listen: 'unix:/run/pondarch/admin.sock', level: 'admin' }],
}
