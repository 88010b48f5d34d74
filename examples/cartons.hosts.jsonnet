local parts = import 'parts.libsonnet';
{ version: 1, hosts: parts.hosts(['zaal-a', 'zaal-b', 'zaal-c'], 0, 13, 3) }
