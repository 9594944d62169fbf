/** A token bucket that may go into debt by one call, so that a call larger than the burst can run at all. */
export interface TokenBucket {
  /** Milliseconds until a call may run; 0 means now. */
  readonly getDelayMs: (rate: number, nowMs: number) => number;
  /** Takes an amount; a negative amount gives back. */
  readonly takeAmount: (amount: number) => void;
}
