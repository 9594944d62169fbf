import { readMonotonicMs } from '@laburnumshift/clock';

/** Creates a token bucket that holds one second's worth; the gate returns 0 to let a call pass, else milliseconds to wait. */
export function createRateGate(perSecond: number): () => number {
  let tokens = perSecond;
  let filledAt = readMonotonicMs();
  return () => {
    const now = readMonotonicMs();
    tokens = Math.min(perSecond, tokens + ((now - filledAt) / 1000) * perSecond);
    filledAt = now;
    if (tokens < 1) return Math.ceil(((1 - tokens) / perSecond) * 1000);
    tokens -= 1;
    return 0;
  };
}
