/** Measures the drain rate of a queue over the time in which it has entries. */
export interface DrainRateMeter {
  /** Records whether the queue has entries from now on; time without entries does not count. */
  readonly setBacklogged: (isBacklogged: boolean, nowMs: number) => void;
  /** Adds the tokens of an entry that left the queue for service. */
  readonly recordServedTokens: (tokens: number) => void;
  /** Returns the drain rate in tokens per millisecond, always more than 0. */
  readonly getTokensPerMs: (nowMs: number) => number;
}
