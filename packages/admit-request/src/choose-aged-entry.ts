import type { AdmissionEntry } from './admission-entry.js';
import type { FairQueue } from './fair-queue.js';
import type { QueuedEntry } from './queued-entry.js';

/**
 * Finds the entry that arrived first, among the first entries of all accounts that were added at `addedBeforeMs` or earlier and
 * that may run.
 */
export function chooseAgedEntry(
  queues: readonly FairQueue[],
  addedBeforeMs: number,
  canRun: (entry: AdmissionEntry) => boolean,
): QueuedEntry | undefined {
  let oldest: QueuedEntry | undefined;
  for (const flow of queues.flatMap((queue) => queue.listFlows())) {
    const head = flow.entries[0];
    if (head === undefined || head.addedAtMs > addedBeforeMs) continue;
    if (oldest !== undefined && oldest.addedAtMs <= head.addedAtMs) continue;
    if (canRun(head.entry)) oldest = head;
  }
  return oldest;
}
