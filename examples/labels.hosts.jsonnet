local parts = import 'parts.libsonnet';
{ version: 1, hosts: parts.hosts(['kas-1', 'kas-2', 'kas-3', 'veiling'], 0, 17, 3) }
