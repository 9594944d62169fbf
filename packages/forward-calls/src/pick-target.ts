import type { ForwardRoute } from '@laburnumshift/forward-types';

/** Picks the service of a call by the weights of its route. `random` is 0 to 1. */
export function pickTarget(route: ForwardRoute, random: number): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random * total;
  for (const { service, weight } of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.targets.at(-1)?.service;
}
