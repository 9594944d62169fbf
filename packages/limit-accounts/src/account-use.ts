import type { AccountLimits } from '@laburnumshift/types';
import type { TokenBucket } from './token-bucket.js';

/** What a node knows of an account that calls through it. */
export interface AccountUse {
  readonly requests: TokenBucket;
  readonly tokens: TokenBucket;
  running: number;
  /** Smoothed duration of a call, milliseconds. */
  callMs: number;
  lastCallMs: number;
  /** Demand since the last refresh, refused calls included. */
  askedRequests: number;
  askedTokens: number;
  peakRunning: number;
  refreshedAtMs: number;
  /** A call was refused since the last refresh. */
  wasRefused: boolean;
  share:
    { readonly limits: AccountLimits; readonly refreshAtMs: number; readonly untilMs: number } | undefined;
}
