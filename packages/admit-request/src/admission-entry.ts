import type { Priority } from '@laburnumshift/types';

/** A request that waits for a free slot on a backend server. */
export interface AdmissionEntry {
  readonly requestId: string;
  readonly account: string;
  /** Share weight of the account: accounts of one priority get tokens in proportion to their weights. */
  readonly accountWeight: number;
  readonly priority: Priority;
  /** Estimated cost in tokens: prompt tokens to compute plus output tokens. */
  readonly tokens: number;
  /** Latest useful time of the first token, in milliseconds of the caller's monotonic clock. */
  readonly deadlineAtMs: number;
  /** Estimated milliseconds from admission to the first token. */
  readonly timeToFirstTokenMs: number;
}
