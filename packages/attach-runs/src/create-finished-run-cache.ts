import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type { RunBuffer } from './run-buffer.js';

/**
 * Creates a cache of finished runs that is bounded by age and by total size. The runs that finished first are evicted
 * first.
 *
 * @param lifetimeMs how long a run is kept after its end, milliseconds
 * @param maxBytes bound for the output of all runs, bytes
 * @param onDrop called for each evicted run
 */
export function createFinishedRunCache(
  lifetimeMs: number,
  maxBytes: number,
  onDrop: (run: RunBuffer) => void,
): {
  readonly addRun: (run: RunBuffer) => void;
  readonly countRuns: () => number;
  readonly countBytes: () => number;
  readonly close: () => void;
} {
  const endTimes = new Map<RunBuffer, number>();
  let bytes = 0;
  let cancelTimer: (() => void) | undefined;

  const expireRuns = (): void => {
    const oldestMs = readMonotonicMs() - lifetimeMs;
    for (const [run, endedAtMs] of endTimes) {
      if (endedAtMs > oldestMs && bytes <= maxBytes) break;
      endTimes.delete(run);
      bytes -= run.bytes;
      onDrop(run);
    }
    const next = endTimes.values().next().value;
    cancelTimer?.();
    cancelTimer = next === undefined ? undefined : startTimer(next - oldestMs, expireRuns);
  };

  return {
    addRun: (run) => {
      endTimes.set(run, readMonotonicMs());
      bytes += run.bytes;
      expireRuns();
    },
    countRuns: () => endTimes.size,
    countBytes: () => bytes,
    close: () => cancelTimer?.(),
  };
}
