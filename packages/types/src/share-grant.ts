import type { AccountLimits } from './account-limits.js';

/** A share of an account's limits, valid for a while. */
export interface ShareGrant {
  readonly account: string;
  readonly limits: AccountLimits;
  readonly validMs: number;
}
