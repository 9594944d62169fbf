import type { TokenBucket } from './token-bucket.js';

/** Number of seconds at the minimum rate that fill an idle bucket. */
const MAX_IDLE_SECONDS = 1;
/** Maximum number of retries that first attempts add above that, which bounds a burst after a long time without failures. */
const MAX_EARNED_RETRIES = 100;

/**
 * Refills a bucket. Elapsed time fills it only up to the minimum rate of one second, so that a long idle time does not allow a retry
 * storm. Tokens earned by first attempts are added on top.
 *
 * @param nowMs monotonic milliseconds
 * @param earnedTokens tokens earned by first attempts since the last call
 */
export function updateBucket(
  bucket: TokenBucket,
  minPerSecond: number,
  nowMs: number,
  earnedTokens: number,
): void {
  const elapsedSeconds = Math.max(0, nowMs - bucket.refilledAtMs) / 1_000;
  const idleLimit = minPerSecond * MAX_IDLE_SECONDS;
  if (bucket.tokens < idleLimit)
    bucket.tokens = Math.min(idleLimit, bucket.tokens + elapsedSeconds * minPerSecond);
  bucket.tokens = Math.min(idleLimit + MAX_EARNED_RETRIES, bucket.tokens + earnedTokens);
  bucket.refilledAtMs = nowMs;
}
