import type { Config, ConfigHead, ConfigSegment } from '@laburnumshift/types';

/** Builds a record without a prototype, so that looking up a name such as `constructor` does not return an inherited member. */
const buildRecord = <T extends { readonly name: string }>(
  items: readonly T[],
): Readonly<Record<string, T>> => {
  const record = Object.create(null) as Record<string, T>;
  for (const item of items) record[item.name] = item;
  return record;
};

/** Merges the checked segments of a head into one configuration. Routes are sorted by order, then by name. */
export function compileConfig(
  head: Pick<ConfigHead, 'generation' | 'changeId' | 'publishedAtMs'>,
  segments: readonly ConfigSegment[],
): Config {
  return {
    generation: head.generation,
    changeId: head.changeId,
    publishedAtMs: head.publishedAtMs,
    accounts: buildRecord(segments.flatMap((segment) => segment.accounts)),
    services: buildRecord(segments.flatMap((segment) => segment.services)),
    pools: buildRecord(segments.flatMap((segment) => segment.pools)),
    routes: segments
      .flatMap((segment) => segment.routes)
      .sort((a, b) => a.order - b.order || (a.name < b.name ? -1 : 1)),
  };
}
