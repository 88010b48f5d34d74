local parts = import 'parts.libsonnet';
local zones = ['noord', 'oost', 'zuid', 'west'];
{
  version: 1,
  hosts: parts.hosts(zones, 0, 89, 6, { machine: 'single', weight: 1 })
         + parts.hosts(zones, 90, 175, 6, { machine: 'dual', weight: 1.4 }),
}
