import type { Priority } from '@laburnumshift/types';

/** A request that waits for a slot. */
export interface AdmissionEntry {
  readonly requestId: string;
  readonly account: string;
  /** Share weight of the account. */
  readonly accountWeight: number;
  readonly priority: Priority;
  /** Estimated cost: prompt tokens to compute plus output tokens. */
  readonly tokens: number;
  /** Latest useful time of the first token, on the caller's monotonic clock. */
  readonly deadlineAtMs: number;
  /** Estimated milliseconds from admission to the first token. */
  readonly serviceMs: number;
}
