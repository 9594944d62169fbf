import type { Interval } from '../history/interval.js';

/** Computes the time at which `ms` milliseconds outside of the pauses have passed. */
export function computeDeadline(startMs: number, ms: number, pauses: readonly Interval[]): number {
  let deadline = startMs + ms;
  let counted = startMs;
  for (const pause of [...pauses].sort((a, b) => a.startMs - b.startMs)) {
    if (pause.startMs >= deadline) break;
    const from = Math.max(pause.startMs, counted);
    if (pause.endMs <= from) continue;
    deadline += pause.endMs - from;
    counted = pause.endMs;
  }
  return deadline;
}
