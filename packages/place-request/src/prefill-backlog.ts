import type { Priority } from '@laburnumshift/types';

/**
 * Estimate of the prompt tokens that wait for prefill on one engine, by priority. `tokensPerSecond` is the prefill rate of the
 * engine; times are monotonic milliseconds.
 */
export interface PrefillBacklog {
  /** Adds the tokens of a request that was placed on the engine. */
  readonly addTokens: (tokens: number, priority: Priority, tokensPerSecond: number, nowMs: number) => void;
  /** Sets the sum over all priorities from a load report, which does not state it by priority; the proportions stay, and a backlog of zero becomes normal. */
  readonly setTotalTokens: (tokens: number, tokensPerSecond: number, nowMs: number) => void;
  /** Returns the tokens that are prefilled before a new request of this priority. */
  readonly getTokensAhead: (priority: Priority, tokensPerSecond: number, nowMs: number) => number;
  /** Sets the backlog to zero. */
  readonly clear: () => void;
}
