import type { TokenBucket } from './token-bucket.js';

const MS_PER_S = 1000;
/** The bucket holds what the rate gives in this time. */
const BURST_S = 1;
/** Delay to state when the rate is zero. */
const NO_RATE_DELAY_MS = 60_000;

/** Creates a full bucket. */
export function createTokenBucket(rate: number, nowMs: number): TokenBucket {
  let level = rate * BURST_S;
  let filledAtMs = nowMs;
  return {
    getDelayMs: (currentRate, now) => {
      const gained = ((now - filledAtMs) / MS_PER_S) * currentRate;
      level = Math.min(level + gained, Math.max(currentRate * BURST_S, Number.EPSILON));
      filledAtMs = now;
      if (level > 0) return 0;
      return currentRate > 0 ? Math.ceil((-level / currentRate) * MS_PER_S) + 1 : NO_RATE_DELAY_MS;
    },
    takeAmount: (amount) => {
      level -= amount;
    },
  };
}
