// One front proxy of the small site. `pondarch check --proxy` checks it.
{
  name: 'front-0',
  zone: 'werkplaats',
  zones: ['werkplaats'],
  listen: '127.0.0.1:8100',
  runtime_api: [{ listen: 'unix:/run/front/front-0.sock', level: 'admin' }],
  kinds: [
    {
      name: 'proof',
      path_prefix: '/proof',
      response_target: '1500 ms',
      client_timeout: '4 s',
      benefit: 1,
      repeats: 'replayable',
    },
  ],
  hosts_file: 'small-site.hosts.jsonnet',
  standing_most: 4,
  pick: 'weighted',
  avoid: { after: 3, least: '2 s', most: '5 s', part: 0.5 },
  further_tries: 0.2,
  limits: { at_host: 32, waiting: 128, last_ready_for: '3 s', held_body: 65536 },
}
