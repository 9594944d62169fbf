import { readMonotonicMs } from '@laburnumshift/clock';
import type { TokenBucket } from './token-bucket.js';

/** Time after a call lacked a token in which the bucket saves a whole one, milliseconds. */
const WANTED_MS = 2000;
/** Time for which tokens beyond the first are saved, seconds: calls come in small groups. */
const BURST_S = 0.25;
const MS_PER_S = 1000;

/**
 * Creates a bucket. It starts with a random part of a token, and keeps no more than that and the idle capacity while no call lacks one:
 * the buckets of many hosts for one server would else fill in step, and all hosts would send at the same moment.
 *
 * @param pickRandom returns a number from 0 to 1
 */
export function createTokenBucket(pickRandom: () => number): TokenBucket {
  let idlePart = pickRandom();
  let tokens = idlePart;
  let refilledMs = readMonotonicMs();
  let wantedMs = -Infinity;
  const computeTokens = (tokensPerS: number, idleCapacity: number): number => {
    const now = readMonotonicMs();
    const isWanted = now - wantedMs < WANTED_MS;
    const capacity = (isWanted ? 1 : Math.min(1, idlePart + idleCapacity)) + tokensPerS * BURST_S;
    return Math.min(capacity, tokens + (tokensPerS * (now - refilledMs)) / MS_PER_S);
  };
  return {
    refill: (tokensPerS, idleCapacity) => {
      tokens = computeTokens(tokensPerS, idleCapacity);
      refilledMs = readMonotonicMs();
    },
    computeTokens,
    getTokens: () => tokens,
    markWanted: () => {
      const now = readMonotonicMs();
      if (now - wantedMs >= WANTED_MS) idlePart = pickRandom();
      wantedMs = now;
    },
    takeToken: () => {
      tokens -= 1;
    },
  };
}
