import type { CallerResult } from './caller-result.js';

/** What completions and bookings have in common. Times are milliseconds on the monotonic clock. */
export interface CallerOperation {
  readonly account: string;
  /** Host of the entry node with the number of its start, e.g. `entry-1/2`. */
  readonly node: string;
  /** Request id or idempotency key. */
  readonly key: string;
  readonly startMs: number;
  readonly endMs: number;
  readonly result: CallerResult;
}
