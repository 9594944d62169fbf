import type { AdmissionEntry } from './admission-entry.js';
import type { FairLine } from './fair-line.js';
import type { Waiting } from './waiting.js';

/** Finds the entry that has waited longest, among those added before a time, that may run. */
export function chooseAged(
  lines: readonly FairLine[],
  addedBeforeMs: number,
  canRun: (entry: AdmissionEntry) => boolean,
): Waiting | undefined {
  let oldest: Waiting | undefined;
  for (const flow of lines.flatMap((line) => line.listFlows())) {
    const head = flow.entries[0];
    if (head === undefined || head.addedAtMs > addedBeforeMs) continue;
    if (oldest !== undefined && oldest.addedAtMs <= head.addedAtMs) continue;
    if (canRun(head.entry)) oldest = head;
  }
  return oldest;
}
