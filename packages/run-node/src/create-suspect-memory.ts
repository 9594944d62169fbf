import { readMonotonicMs } from '@laburnumshift/clock';
import type { SuspectMemory } from './suspect-memory.js';

/** Equal to the time for which the quarantine keeps suspects. */
const RETENTION_MS = 600_000;
const MAX_ENTRIES = 10_000;

/**
 * Creates the record of requests that were in flight on a crashed engine of a cell of this node. An entry expires after
 * 10 minutes. The oldest entry is dropped when there are more than 10,000.
 */
export function createSuspectMemory(): SuspectMemory {
  const untilMs = new Map<string, number>();
  return {
    addSuspect: (fingerprint) => {
      untilMs.delete(fingerprint);
      untilMs.set(fingerprint, readMonotonicMs() + RETENTION_MS);
      const oldest = untilMs.size > MAX_ENTRIES ? untilMs.keys().next().value : undefined;
      if (oldest !== undefined) untilMs.delete(oldest);
    },
    clearSuspect: (fingerprint) => {
      untilMs.delete(fingerprint);
    },
    isSuspect: (fingerprint) => (untilMs.get(fingerprint) ?? 0) > readMonotonicMs(),
  };
}
