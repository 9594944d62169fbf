import { computeRendezvousWeight } from '@laburnumshift/rank-homes';

/** Up to this many engines, all are candidates. */
const MAX_ALL_ENGINES = 16;
/** Number of engines, first in rendezvous order for the prompt, of which one is a candidate. */
const RENDEZVOUS_ENGINES = 4;
/** Number of candidates that have the prompt's prefix in their cache. */
const PREFIX_ENGINES = 2;
/** Number of candidates drawn from all engines. */
const RANDOM_ENGINES = 2;

/**
 * Picks the engines that are compared for one call. In large fleets the loads reported by other hosts are some 0.3 s old: the more
 * engines each call compares, the more calls within that time choose the same engines that were idle.
 *
 * @param affinityKey key for the rendezvous order
 * @param hasPrefix tells whether the engine has the prompt's prefix in its cache
 * @param pickRandom returns a number from 0 to 1
 */
export function pickCandidates<T extends { readonly id: string }>(
  engines: readonly T[],
  affinityKey: string,
  hasPrefix: (engine: T) => boolean,
  pickRandom: () => number,
): readonly T[] {
  if (engines.length <= MAX_ALL_ENGINES) return engines;
  const pickSome = (from: readonly T[], count: number): readonly T[] => {
    const rest = [...from];
    return Array.from({ length: Math.min(count, rest.length) }, () =>
      rest.splice(Math.min(rest.length - 1, Math.floor(pickRandom() * rest.length)), 1),
    ).flat();
  };
  const rendezvousEngines = engines
    .map((engine) => ({ engine, weight: computeRendezvousWeight(affinityKey, engine.id) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, RENDEZVOUS_ENGINES)
    .map(({ engine }) => engine);
  return [
    ...new Set([
      ...pickSome(rendezvousEngines, 1),
      ...pickSome(engines.filter(hasPrefix), PREFIX_ENGINES),
      ...pickSome(engines, RANDOM_ENGINES),
    ]),
  ];
}
