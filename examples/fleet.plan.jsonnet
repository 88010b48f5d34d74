// A fleet to plan for: `pondarch plan examples/fleet.plan.jsonnet`.
local busy = { proof: 22, order: 18, release: 6 };
{
  zones: ['noord', 'oost', 'zuid'],
  kinds: [
    { name: 'proof', work: '300 ms', response_target: '1.5 s', benefit: 1 },
    { name: 'order', work: '180 ms', response_target: '1 s', benefit: 5 },
    { name: 'release', work: '180 ms', response_target: '800 ms', benefit: 3 },
  ],
  hosts: [
    { name: 'noord-single', zone: 'noord', count: 6, cores: 1, speed: 1.5 },
    { name: 'oost-dual', zone: 'oost', count: 4, cores: 2 },
    { name: 'zuid-dual', zone: 'zuid', count: 3, cores: 2 },
    { name: 'zuid-new', zone: 'zuid', cores: 2, warm: 0.3 },
  ],
  demand: { noord: busy, oost: { proof: 8, order: 6, release: 2 }, zuid: busy },
  crossing_price: 0.06,
}
