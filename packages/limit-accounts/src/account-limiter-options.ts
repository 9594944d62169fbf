import type { AccountLimits, ShareGrant, ShareRequest } from '@laburnumshift/types';

/** Options of `createAccountLimiter`. */
export interface AccountLimiterOptions {
  /** Name of this host. */
  readonly host: string;
  /** Returns the published limits of an account. The limiter is called for known accounts only. */
  readonly getLimits: (account: string) => AccountLimits;
  /** Returns the number of live nodes; less than 1 counts as 1. */
  readonly countLiveNodes: () => number;
  /** Sends a `share` message to the home of the account; resolves to `undefined` when the home does not answer. */
  readonly askShare: (request: ShareRequest) => Promise<ShareGrant | undefined>;
  /** Called with the error when a periodic refresh fails. */
  readonly onError: (error: unknown) => void;
}
