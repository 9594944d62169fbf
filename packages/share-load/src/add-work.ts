import type { OutstandingWork } from '@laburnumshift/track-engines';

/** Adds two amounts of work at the same server. */
export function addWork(a: OutstandingWork, b: OutstandingWork): OutstandingWork {
  return { calls: a.calls + b.calls, ms: a.ms + b.ms };
}
