import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** Picks up to `count` distinct items at random. */
export function pickRandom<T>(random: RandomGenerator, items: readonly T[], count: number): T[] {
  const remaining = [...items];
  const picked: T[] = [];
  while (picked.length < count && remaining.length > 0) {
    picked.push(...remaining.splice(uniformInt(random, 0, remaining.length - 1), 1));
  }
  return picked;
}
