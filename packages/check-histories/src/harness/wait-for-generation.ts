import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { RunContext } from './run-context.js';

const POLL_MS = 50;

/** Waits until each running node was seen with a generation; false when that takes longer than `limitMs`. */
export async function waitForGeneration(
  context: RunContext,
  generation: number,
  limitMs: number,
): Promise<boolean> {
  const endMs = readMonotonicMs() + limitMs;
  while (readMonotonicMs() < endMs) {
    const nodes = context.fleet.listRunning().map(({ life }) => life.node);
    const reached = nodes.every((node) =>
      context.generations.some((sample) => sample.node === node && sample.generation >= generation),
    );
    if (reached) return true;
    await sleep(POLL_MS);
  }
  return false;
}
