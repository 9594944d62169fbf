import { readMonotonicMs } from '@laburnumshift/clock';

const US_PER_MS = 1000;
const ROUNDS = 7;
const ROUND_MS = 15;

/** Times a function over many repetitions: microseconds of one call in the best of several rounds. */
export function measureTime(run: (turn: number) => unknown): number {
  let turn = 0;
  let best = Infinity;
  for (let round = 0; round <= ROUNDS; round += 1) {
    const startMs = readMonotonicMs();
    let calls = 0;
    while (readMonotonicMs() - startMs < ROUND_MS) {
      for (let i = 0; i < 4; i += 1) run(turn++);
      calls += 4;
    }
    const us = ((readMonotonicMs() - startMs) * US_PER_MS) / calls;
    // The first round warms up.
    if (round > 0) best = Math.min(best, us);
  }
  return best;
}
