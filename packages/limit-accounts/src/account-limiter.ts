import type { ShareGrant, ShareRequest } from '@laburnumshift/types';
import type { CallPermit } from './call-permit.js';

/** Limits of client accounts on one node, and the duties of a home. */
export interface AccountLimiter {
  /** Admits a call or tells when to try again. `tokens` is the estimate of prompt and output tokens. */
  readonly admitCall: (account: string, tokens: number) => CallPermit;
  /** Answers the `share` message for accounts whose home this node is. */
  readonly handleShare: (request: ShareRequest) => ShareGrant;
  /** The limits that this node applies to an account now. */
  readonly getShare: (account: string) => ShareGrant['limits'];
  /** Asks the homes of all active accounts once. The limiter also does so by itself. */
  readonly refreshShares: () => Promise<void>;
  readonly getCounts: () => Readonly<Record<string, number>>;
  readonly close: () => void;
}
