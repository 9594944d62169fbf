import type { CrashRecord } from './crash-record.js';

/** Time within which several crashes count as one, milliseconds: servers that share a power supply end together. */
const MOMENT_MS = 250;

/** Counts the moments at which servers crashed; servers that crash together are no independent evidence. */
export function countCrashMoments(crashes: readonly CrashRecord[]): number {
  let moments = 0;
  let momentAtMs = -Infinity;
  for (const { atMs } of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
    if (atMs - momentAtMs < MOMENT_MS) continue;
    moments += 1;
    momentAtMs = atMs;
  }
  return moments;
}
