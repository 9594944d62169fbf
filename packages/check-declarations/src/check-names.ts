import type { ConfigSegment } from '@laburnumshift/types';
import { listEntities } from './list-entities.js';
import type { SegmentFinding } from './segment-finding.js';

interface NameLocation {
  readonly file: string;
  readonly path: readonly PropertyKey[];
  readonly name: string;
}

/** Reports each name after its first occurrence, with the file of the first. */
const collectDuplicates = (label: string, locations: readonly NameLocation[]): readonly SegmentFinding[] => {
  const firstByName = new Map<string, NameLocation>();
  return locations.flatMap((location) => {
    const earlier = firstByName.get(location.name);
    if (earlier === undefined) {
      firstByName.set(location.name, location);
      return [];
    }
    const message = `${label} '${location.name}' is also declared in ${earlier.file}`;
    return [{ file: location.file, path: location.path, message }];
  });
};

/**
 * Reports duplicate names of accounts, services, pools and routes, duplicate host names of backend servers and stores, and
 * duplicate key hashes, because such a key would authenticate two accounts.
 */
export function checkNames(segments: readonly ConfigSegment[]): readonly SegmentFinding[] {
  const labels = { accounts: 'account', services: 'service', pools: 'pool', routes: 'route' } as const;
  const duplicateEntities = (Object.keys(labels) as (keyof typeof labels)[]).flatMap((list) =>
    collectDuplicates(
      labels[list],
      listEntities(segments, list).map(({ file, path, value }) => ({
        file,
        path: path[0] === list ? [...path, 'name'] : path,
        name: value.name,
      })),
    ),
  );
  const hostNames = listEntities(segments, 'pools').flatMap(({ file, path, value }) => [
    ...value.servers.map(({ name }, i) => ({ file, path: [...path, 'servers', i, 'name'], name })),
    ...value.stores.map(({ name }, i) => ({ file, path: [...path, 'stores', i, 'name'], name })),
  ]);
  const keyHashes = listEntities(segments, 'accounts').flatMap(({ file, path, value }) =>
    value.keys.map(({ sha256 }, i) => ({ file, path: [...path, 'keys', i, 'sha256'], name: sha256 })),
  );
  return [
    ...duplicateEntities,
    ...collectDuplicates('backend server or store', hostNames),
    ...collectDuplicates('key hash', keyHashes),
  ];
}
