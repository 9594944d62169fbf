import type { ProbeResult } from '@laburnumshift/forward-types';

/** A report of a server about a call without progress. */
export interface StallReport {
  readonly result: ProbeResult;
  /** When the report arrived, or the wait for it ended, monotonic milliseconds. */
  readonly atMs: number;
}
