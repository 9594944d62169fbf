import type { ConfigSegment } from '@laburnumshift/types';
import { listEntities } from './list-entities.js';
import type { SegmentFinding } from './segment-finding.js';

interface NamePlace {
  readonly file: string;
  readonly path: readonly PropertyKey[];
  readonly name: string;
}

const collectRepeated = (label: string, places: readonly NamePlace[]): readonly SegmentFinding[] => {
  const first = new Map<string, NamePlace>();
  return places.flatMap((place) => {
    const other = first.get(place.name);
    if (other === undefined) {
      first.set(place.name, place);
      return [];
    }
    const message = `${label} '${place.name}' is also declared in ${other.file}`;
    return [{ file: place.file, path: place.path, message }];
  });
};

/** Reports names that occur twice, and keys that would authenticate two accounts. */
export function checkNames(segments: readonly ConfigSegment[]): readonly SegmentFinding[] {
  const lists = { accounts: 'account', services: 'service', pools: 'pool', routes: 'route' } as const;
  const named = (Object.keys(lists) as (keyof typeof lists)[]).flatMap((list) =>
    collectRepeated(
      lists[list],
      listEntities(segments, list).map(({ file, path, value }) => ({
        file,
        path: path[0] === list ? [...path, 'name'] : path,
        name: value.name,
      })),
    ),
  );
  const hosts = listEntities(segments, 'pools').flatMap(({ file, path, value }) => [
    ...value.servers.map(({ name }, i) => ({ file, path: [...path, 'servers', i, 'name'], name })),
    ...value.stores.map(({ name }, i) => ({ file, path: [...path, 'stores', i, 'name'], name })),
  ]);
  const keys = listEntities(segments, 'accounts').flatMap(({ file, path, value }) =>
    value.keys.map(({ sha256 }, i) => ({ file, path: [...path, 'keys', i, 'sha256'], name: sha256 })),
  );
  return [
    ...named,
    ...collectRepeated('backend server or store', hosts),
    ...collectRepeated('key hash', keys),
  ];
}
