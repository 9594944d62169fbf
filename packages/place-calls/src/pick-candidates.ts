import { computeWeight } from '@laburnumshift/rank-homes';

/** Up to so many engines all are weighed. */
const ALL_ENGINES = 16;
/** Weighed of more: one of the first in rendezvous order of the prompt, some that have its beginning, and some of all. */
const HOMES = 4;
const HOLDERS = 2;
const OTHERS = 2;

/**
 * Picks the engines that one call weighs. Loads of other hosts are some 0.3 s old in large fleets: the more engines each call
 * weighs, the more calls of that time meet at those that were idle.
 *
 * @param pickRandom returns 0 to 1
 */
export function pickCandidates<T extends { readonly id: string }>(
  engines: readonly T[],
  homeKey: string,
  isHolder: (engine: T) => boolean,
  pickRandom: () => number,
): readonly T[] {
  if (engines.length <= ALL_ENGINES) return engines;
  const pickSome = (from: readonly T[], count: number): readonly T[] => {
    const rest = [...from];
    return Array.from({ length: Math.min(count, rest.length) }, () =>
      rest.splice(Math.min(rest.length - 1, Math.floor(pickRandom() * rest.length)), 1),
    ).flat();
  };
  const homes = engines
    .map((engine) => ({ engine, weight: computeWeight(homeKey, engine.id) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, HOMES)
    .map(({ engine }) => engine);
  return [
    ...new Set([
      ...pickSome(homes, 1),
      ...pickSome(engines.filter(isHolder), HOLDERS),
      ...pickSome(engines, OTHERS),
    ]),
  ];
}
