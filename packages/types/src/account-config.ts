import type { AccountKey } from './account-key.js';
import type { AccountLimits } from './account-limits.js';

/** A client account in the published configuration. */
export interface AccountConfig {
  readonly name: string;
  readonly keys: readonly AccountKey[];
  /** Weight in weighted fair queueing; default 1. */
  readonly weight: number;
  readonly limits: AccountLimits;
  /** Storage quota of the account over all store hosts of one pool, bytes. */
  readonly storeBytes: number;
}
