import type { AdmissionEntry } from './admission-entry.js';
import type { FairQueue } from './fair-queue.js';
import type { QueuedEntry } from './queued-entry.js';

/** Entries of one account that are examined before those of the next account; bounds the work when many cannot run. */
const MAX_EXAMINED_PER_ACCOUNT = 16;

/** Finds the first entry, in the order of fair queueing, that may run. */
export function chooseRunnableEntry(
  queue: FairQueue,
  canRun: (entry: AdmissionEntry) => boolean,
): QueuedEntry | undefined {
  for (const flow of queue.listFlows()) {
    const found = flow.entries.slice(0, MAX_EXAMINED_PER_ACCOUNT).find((queued) => canRun(queued.entry));
    if (found !== undefined) return found;
  }
  return undefined;
}
