/**
 * Engines of other failure domains that are compared for one call. Their loads are some 0.3 s old, so a small number keeps calls
 * within that time from choosing the same engine.
 */
const REMOTE_ENGINES = 3;

/**
 * Picks the engines of other failure domains that are compared for one call, at random.
 *
 * @param pickRandom returns a number from 0 to 1
 */
export function pickRemoteEngines<T>(engines: readonly T[], pickRandom: () => number): readonly T[] {
  const rest = [...engines];
  return Array.from({ length: Math.min(REMOTE_ENGINES, rest.length) }, () =>
    rest.splice(Math.min(rest.length - 1, Math.floor(pickRandom() * rest.length)), 1),
  ).flat();
}
