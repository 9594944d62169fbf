import type { AccountKey } from './account-key.js';
import type { AccountLimits } from './account-limits.js';

/** A client account as published. */
export interface AccountConfig {
  readonly name: string;
  readonly keys: readonly AccountKey[];
  /** Share weight in fair queueing; 1 is the default. */
  readonly weight: number;
  readonly limits: AccountLimits;
  /** Bytes that the account may hold on the store hosts of one pool. */
  readonly storeBytes: number;
}
