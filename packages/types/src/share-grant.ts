import type { AccountLimits } from './account-limits.js';

/** The share of an account's limits that a node may use for `validMs` milliseconds. */
export interface ShareGrant {
  readonly account: string;
  readonly limits: AccountLimits;
  readonly validMs: number;
}
