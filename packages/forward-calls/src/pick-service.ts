import type { ForwardRoute } from '@laburnumshift/forward-types';

/**
 * Picks the service of a call by the weights of its route; `undefined` when the route has no targets.
 *
 * @param random from 0 (inclusive) to 1 (exclusive)
 */
export function pickService(route: ForwardRoute, random: number): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random * total;
  for (const { service, weight } of route.targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.targets.at(-1)?.service;
}
