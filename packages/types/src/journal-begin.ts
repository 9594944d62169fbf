import type { System } from './system.js';

/** Asks the journal for permission to run a non-idempotent call. */
export interface JournalBegin {
  readonly account: string;
  readonly service: string;
  readonly key: string;
  readonly bodyHash: string;
  readonly attemptId: string;
  /** Host and incarnation of the entry node that will dispatch. */
  readonly node: string;
  readonly incarnation: number;
  readonly system: System;
  /** Time that the caller's key carries, milliseconds since the epoch. */
  readonly issuedAtMs: number;
  /** Milliseconds to wait for a run in progress to finish. */
  readonly waitMs: number;
}
