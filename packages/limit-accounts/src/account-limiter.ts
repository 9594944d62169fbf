import type { ShareGrant, ShareRequest } from '@laburnumshift/types';
import type { CallAdmission } from './call-admission.js';

/** Applies the limits of client accounts on one node, and allocates shares of them for the accounts whose home this node is. */
export interface AccountLimiter {
  /** Admits a call, or refuses it with a retry delay. `tokens` is the estimate of its prompt and output tokens. */
  readonly admitCall: (account: string, tokens: number) => CallAdmission;
  /** Handles the `share` message of a node for an account whose home this node is. */
  readonly handleShareRequest: (request: ShareRequest) => ShareGrant;
  /** Returns the limits that this node applies to an account now. */
  readonly getCurrentLimits: (account: string) => ShareGrant['limits'];
  /** Requests new shares from the homes of the accounts whose share is due for a refresh. The limiter also does so periodically. */
  readonly refreshShares: () => Promise<void>;
  /** Totals since creation by name, and `accounts`, the number of accounts with state on this node. */
  readonly getCounts: () => Readonly<Record<string, number>>;
  /** Stops the periodic refresh. */
  readonly close: () => void;
}
