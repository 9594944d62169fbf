import { readMonotonicMs, startTimer } from '@laburnumshift/clock';
import type { RunBuffer } from './run-buffer.js';

/** Keeps finished runs for a time and within a number of bytes; the oldest go first. */
export function createRunKeeper(
  keepMs: number,
  keepBytes: number,
  onDrop: (run: RunBuffer) => void,
): {
  readonly addRun: (run: RunBuffer) => void;
  readonly countRuns: () => number;
  readonly countBytes: () => number;
  readonly close: () => void;
} {
  const kept = new Map<RunBuffer, number>();
  let bytes = 0;
  let cancelTimer: (() => void) | undefined;

  const expireRuns = (): void => {
    const oldestMs = readMonotonicMs() - keepMs;
    for (const [run, endedAtMs] of kept) {
      if (endedAtMs > oldestMs && bytes <= keepBytes) break;
      kept.delete(run);
      bytes -= run.bytes;
      onDrop(run);
    }
    const next = kept.values().next().value;
    cancelTimer?.();
    cancelTimer = next === undefined ? undefined : startTimer(next - oldestMs, expireRuns);
  };

  return {
    addRun: (run) => {
      kept.set(run, readMonotonicMs());
      bytes += run.bytes;
      expireRuns();
    },
    countRuns: () => kept.size,
    countBytes: () => bytes,
    close: () => cancelTimer?.(),
  };
}
