import type { ServingSystem } from './serving-system.js';

/** Asks the journal for permission to run a non-idempotent call. */
export interface JournalBegin {
  readonly account: string;
  readonly service: string;
  readonly key: string;
  readonly bodyHash: string;
  readonly attemptId: string;
  /** Host and incarnation of the entry node that will dispatch the call. */
  readonly node: string;
  readonly incarnation: number;
  readonly system: ServingSystem;
  /** Timestamp of the caller's idempotency key, milliseconds since the epoch. */
  readonly issuedAtMs: number;
  /** Longest wait for an attempt in progress to finish, milliseconds. */
  readonly waitMs: number;
}
