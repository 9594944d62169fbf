/** A budget in retries; it fills with time and with first attempts. */
export interface TokenBucket {
  tokens: number;
  /** Monotonic milliseconds of the last refill. */
  refilledAt: number;
}
