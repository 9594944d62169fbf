import type { TokenBucket } from './token-bucket.js';

const MS_PER_S = 1000;
/** Capacity of the bucket, as the time in which the rate fills it. */
const BURST_S = 1;
/** Delay that is returned when the rate is zero. */
const ZERO_RATE_DELAY_MS = 60_000;

/** Creates a full bucket. `rate` is in units per second, `nowMs` in monotonic milliseconds. */
export function createTokenBucket(rate: number, nowMs: number): TokenBucket {
  let balance = rate * BURST_S;
  let refilledAtMs = nowMs;
  return {
    getDelayMs: (currentRate, now) => {
      const refill = ((now - refilledAtMs) / MS_PER_S) * currentRate;
      balance = Math.min(balance + refill, Math.max(currentRate * BURST_S, Number.EPSILON));
      refilledAtMs = now;
      if (balance > 0) return 0;
      return currentRate > 0 ? Math.ceil((-balance / currentRate) * MS_PER_S) + 1 : ZERO_RATE_DELAY_MS;
    },
    takeAmount: (amount) => {
      balance -= amount;
    },
  };
}
