/** Token bucket in which one token is one retry. Elapsed time and first attempts add tokens. */
export interface TokenBucket {
  tokens: number;
  /** Monotonic time of the last refill, in milliseconds. */
  refilledAtMs: number;
}
