local parts = import 'parts.libsonnet';
{ version: 1, hosts: parts.hosts(['werkplaats'], 0, 5, 3) }
