import type { ConfigSegment } from '@laburnumshift/types';

/** An entity with its file and its path in that file. */
interface LocatedEntity<T> {
  readonly file: string;
  readonly path: readonly PropertyKey[];
  readonly value: T;
}

/** Lists the entities of one kind in all segments, e.g. all pools, with their files and paths. */
export function listEntities<K extends 'accounts' | 'services' | 'pools' | 'routes'>(
  segments: readonly ConfigSegment[],
  list: K,
): readonly LocatedEntity<ConfigSegment[K][number]>[] {
  return segments.flatMap((segment) =>
    segment[list].map((value, index) => {
      // A shorthand route is located at the `pool` member of the service that declares it.
      const serviceIndex =
        list === 'routes' && value.name.startsWith('service/')
          ? segment.services.findIndex((service) => `service/${service.name}` === value.name)
          : -1;
      return {
        file: segment.file,
        path: serviceIndex < 0 ? [list, index] : ['services', serviceIndex, 'pool'],
        value,
      };
    }),
  );
}
