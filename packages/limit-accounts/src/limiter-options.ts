import type { AccountLimits, ShareGrant, ShareRequest } from '@laburnumshift/types';

/** What a limiter needs from its node. */
export interface LimiterOptions {
  readonly host: string;
  /** Published limits of an account; unknown accounts are refused before they get here. */
  readonly getLimits: (account: string) => AccountLimits;
  /** Live nodes, at least 1. */
  readonly countNodes: () => number;
  /** Sends `share` to the account's home; `undefined` when it does not answer. */
  readonly askShare: (request: ShareRequest) => Promise<ShareGrant | undefined>;
  readonly onError: (error: unknown) => void;
}
