import type { FaultName } from './faults/fault-name.js';

/** A prime larger than the number of pairs, so that consecutive seeds go through all pairs before one returns. */
const STRIDE = 7_919;

/** Chooses the pair of faults of a seed; a fault may meet itself. */
export function chooseFaults(names: readonly FaultName[], seed: number): readonly FaultName[] {
  const pairs = names.flatMap((first, index) => names.slice(index).map((second) => [first, second]));
  return pairs[(seed * STRIDE) % pairs.length] ?? [];
}
