import type { TokenBucket } from './token-bucket.js';

/** Seconds of the minimum rate that an idle bucket saves up. */
const IDLE_SECONDS = 1;
/** Retries that first attempts can save up; a burst after a long quiet run stays bounded. */
const EARNED_RETRIES = 100;

/**
 * Adds what the elapsed time earned. Time fills a bucket only up to the minimum of one second, so that an idle bucket does
 * not pay for a storm; what first attempts earned above that is kept.
 */
export function updateBucket(bucket: TokenBucket, minPerSecond: number, nowMs: number, earned: number): void {
  const seconds = Math.max(0, nowMs - bucket.refilledAt) / 1_000;
  const floor = minPerSecond * IDLE_SECONDS;
  if (bucket.tokens < floor) bucket.tokens = Math.min(floor, bucket.tokens + seconds * minPerSecond);
  bucket.tokens = Math.min(floor + EARNED_RETRIES, bucket.tokens + earned);
  bucket.refilledAt = nowMs;
}
