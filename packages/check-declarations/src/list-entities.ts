import type { ConfigSegment } from '@laburnumshift/types';

/** An entity with its place. */
interface Placed<T> {
  readonly file: string;
  readonly path: readonly PropertyKey[];
  readonly value: T;
}

/** Lists the entities of one list of all segments, e.g. all pools, with their places. */
export function listEntities<K extends 'accounts' | 'services' | 'pools' | 'routes'>(
  segments: readonly ConfigSegment[],
  list: K,
): readonly Placed<ConfigSegment[K][number]>[] {
  return segments.flatMap((segment) =>
    segment[list].map((value, index) => {
      // A shorthand route has its place at the service that declares it.
      const owner =
        list === 'routes' && value.name.startsWith('service/')
          ? segment.services.findIndex((service) => `service/${service.name}` === value.name)
          : -1;
      return { file: segment.file, path: owner < 0 ? [list, index] : ['services', owner, 'pool'], value };
    }),
  );
}
