import type { AdmissionEntry } from './admission-entry.js';
import type { FairLine } from './fair-line.js';
import type { Waiting } from './waiting.js';

/** Entries of one account that are examined before the next account's turn; bounds the work when many cannot run. */
const MAX_SKIPPED = 16;

/** Finds the first entry in fair order that may run. */
export function chooseWaiting(
  line: FairLine,
  canRun: (entry: AdmissionEntry) => boolean,
): Waiting | undefined {
  for (const flow of line.listFlows()) {
    const found = flow.entries.slice(0, MAX_SKIPPED).find((waiting) => canRun(waiting.entry));
    if (found !== undefined) return found;
  }
  return undefined;
}
