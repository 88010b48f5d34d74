// Print jobs over four data centres: three request kinds, one of which must never run twice; two stewards that share
// nothing. This is the first one's half of the proxies; the second has the same file with the other half.
local parts = import 'parts.libsonnet';
local zones = ['noord', 'oost', 'zuid', 'west'];
{
  name: 'steward-1',
  zones: zones,
  kinds: [
    parts.kind('proof', '1.5 s', '4 s', 1, 'replayable'),
    parts.kind('order', '1 s', '3 s', 5, 'uniqued'),
    parts.kind('release', '800 ms', '2.5 s', 3, 'non-replayable'),
  ],
  proxies: parts.proxies(zones, 0, 95, 4),
  proxies_of_site: 192,
  hosts_file: 'photo-books.hosts.jsonnet',
  channel: { lines_per_second: 9000, most_waiting: 9000, message_cap: 12, message_window: '10 s' },
  reports: { every: '1 s' },
  cold: { start_share: 0.17, warm_within: '18 s' },
  probes: { path: '/health', time_limit: '400 ms', load_every: '1 s' },
  crossing_price: 0.06,
  dropped_is_no_drain: true,
  runtime_api: [{ listen: 'unix:/run/pondarch/admin.sock', level: 'admin' }],
}
