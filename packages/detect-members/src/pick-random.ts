import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** Picks up to `count` different items. */
export function pickRandom<T>(random: RandomGenerator, items: readonly T[], count: number): T[] {
  const rest = [...items];
  const picked: T[] = [];
  while (picked.length < count && rest.length > 0) {
    picked.push(...rest.splice(uniformInt(random, 0, rest.length - 1), 1));
  }
  return picked;
}
