import type { Priority } from '@laburnumshift/types';

/** Prompt tokens that wait for prefill on one engine, by priority. Rates are tokens per second, times monotonic milliseconds. */
export interface PrefillBacklog {
  readonly addTokens: (tokens: number, priority: Priority, rate: number, nowMs: number) => void;
  /** Corrects the sum over all priorities; a load report does not split it. */
  readonly setTotal: (tokens: number, rate: number, nowMs: number) => void;
  /** Tokens that go before a new request of this priority. */
  readonly getTokens: (priority: Priority, rate: number, nowMs: number) => number;
  readonly clear: () => void;
}
