import type { AccountLimits } from '@laburnumshift/types';
import type { TokenBucket } from './token-bucket.js';

/** State of an account that makes calls through a node. Times are monotonic milliseconds. */
export interface AccountState {
  /** Bucket of calls. */
  readonly requests: TokenBucket;
  /** Bucket of prompt and output tokens. */
  readonly tokens: TokenBucket;
  /** Calls in flight. */
  running: number;
  /** Moving average of the duration of a call, in milliseconds. */
  meanCallMs: number;
  lastCallAtMs: number;
  /** Calls since the last refresh, refused ones included. */
  demandedRequests: number;
  /** Estimated tokens of these calls. */
  demandedTokens: number;
  /** Maximum of the calls in flight since the last refresh, including the refused call that would have been added. */
  peakRunning: number;
  refreshedAtMs: number;
  /** True when a call was refused since the last refresh. */
  hasRefusedCalls: boolean;
  /** The last share granted, with the times of its refresh and of its end; `undefined` before the first. */
  share:
    { readonly limits: AccountLimits; readonly refreshAtMs: number; readonly untilMs: number } | undefined;
}
