/** A token bucket whose balance may go below zero by one call, so that a call larger than the capacity can run. */
export interface TokenBucket {
  /** Refills the bucket at `rate` units per second and returns the milliseconds until a call may run; 0 means now. */
  readonly getDelayMs: (rate: number, nowMs: number) => number;
  /** Takes an amount from the bucket; a negative amount returns it. */
  readonly takeAmount: (amount: number) => void;
}
