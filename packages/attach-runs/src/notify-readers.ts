import type { RunBuffer } from './run-buffer.js';

/** Wakes all readers that wait for a change of a run. */
export function notifyReaders(run: RunBuffer): void {
  const waiting = [...run.waiting];
  run.waiting.clear();
  for (const resolve of waiting) resolve();
}
