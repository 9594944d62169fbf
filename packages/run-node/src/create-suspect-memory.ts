import { readMonotonicMs } from '@laburnumshift/clock';
import type { SuspectMemory } from './suspect-memory.js';

/** As long as the quarantine keeps suspects. */
const KEEP_MS = 600_000;
const MAX_ENTRIES = 10_000;

/** Creates the memory of the requests that were in flight on engines of this node's cells when they crashed. */
export function createSuspectMemory(): SuspectMemory {
  const untilMs = new Map<string, number>();
  return {
    addSuspect: (fingerprint) => {
      untilMs.delete(fingerprint);
      untilMs.set(fingerprint, readMonotonicMs() + KEEP_MS);
      const oldest = untilMs.size > MAX_ENTRIES ? untilMs.keys().next().value : undefined;
      if (oldest !== undefined) untilMs.delete(oldest);
    },
    clearSuspect: (fingerprint) => {
      untilMs.delete(fingerprint);
    },
    isSuspect: (fingerprint) => (untilMs.get(fingerprint) ?? 0) > readMonotonicMs(),
  };
}
