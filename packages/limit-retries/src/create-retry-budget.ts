import { readMonotonicMs } from '@laburnumshift/clock';
import type { RetryConfig } from '@laburnumshift/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { updateBucket } from './update-bucket.js';
import type { RetryBudgetOptions } from './retry-budget-options.js';
import type { RetryBudget } from './retry-budget.js';
import type { RetryScope } from './retry-scope.js';
import type { TokenBucket } from './token-bucket.js';

/** Maximum delay before the first retry, in milliseconds. Its mean of 25 ms is about one round trip between failure domains with room for queueing. */
const BASE_DELAY_MS = 50;
/** Maximum delay before any retry, in milliseconds: a longer one would use up the deadline of short calls. */
const MAX_DELAY_MS = 2_000;
/** Budget of each account and of each pool: retries per first attempt, and retries per second that are always allowed. */
const DEFAULT_SHARED_RATIO = 0.2;
const DEFAULT_SHARED_MIN_PER_SECOND = 10;
/** Maximum number of buckets; above it the least recently used one is evicted. 4,100 accounts fit. */
const MAX_BUCKETS = 10_000;

/**
 * Creates the retry budgets of a node: a token bucket for each service, account and pool, and exponential backoff with full jitter.
 * The bucket of a service has the ratio and the minimum of that service; all accounts and pools have those of the options.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { baseDelayMs: baseMs = BASE_DELAY_MS, maxMs = MAX_DELAY_MS } = options;
  const shared = {
    ratio: options.sharedRatio ?? DEFAULT_SHARED_RATIO,
    minPerSecond: options.sharedMinPerSecond ?? DEFAULT_SHARED_MIN_PER_SECOND,
  };
  const random = xoroshiro128plus(options.seed);
  const buckets = new Map<string, TokenBucket>();
  const counts = { allowed: 0, refused: 0 };

  const selectBucket = (name: string, minPerSecond: number, earnedTokens: number): TokenBucket => {
    const now = readMonotonicMs();
    const bucket = buckets.get(name) ?? { tokens: minPerSecond, refilledAtMs: now };
    buckets.delete(name);
    buckets.set(name, bucket);
    const oldest = buckets.size > MAX_BUCKETS ? buckets.keys().next().value : undefined;
    if (oldest !== undefined) buckets.delete(oldest);
    updateBucket(bucket, minPerSecond, now, earnedTokens);
    return bucket;
  };

  const selectBuckets = (scope: RetryScope, retry: RetryConfig, attemptCount: number): TokenBucket[] => [
    selectBucket(`service:${scope.service}`, retry.minPerSecond, retry.ratio * attemptCount),
    selectBucket(`account:${scope.account}`, shared.minPerSecond, shared.ratio * attemptCount),
    selectBucket(`pool:${scope.pool}`, shared.minPerSecond, shared.ratio * attemptCount),
  ];

  return {
    recordAttempt: (scope, retry) => {
      selectBuckets(scope, retry, 1);
    },
    takeRetry: (scope, retry) => {
      const scopeBuckets = selectBuckets(scope, retry, 0);
      const allowed = scopeBuckets.every((bucket) => bucket.tokens >= 1);
      if (allowed) for (const bucket of scopeBuckets) bucket.tokens -= 1;
      counts[allowed ? 'allowed' : 'refused'] += 1;
      return allowed;
    },
    computeBackoff: (attempt) => uniformFloat64(random) * Math.min(maxMs, baseMs * 2 ** (attempt - 1)),
    getRetryCounts: () => ({ ...counts }),
  };
}
