import { readMonotonicMs } from '@laburnumshift/clock';
import type { RetryConfig } from '@laburnumshift/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { updateBucket } from './update-bucket.js';
import type { RetryBudgetOptions } from './retry-budget-options.js';
import type { RetryBudget } from './retry-budget.js';
import type { RetryScope } from './retry-scope.js';
import type { TokenBucket } from './token-bucket.js';

/** Mean pause of 25 ms before the first retry: about one round trip between failure domains with room for queueing. */
const BASE_MS = 50;
/** Longer pauses would use up the deadline of short calls. */
const MAX_MS = 2_000;
const SHARED_RATIO = 0.2;
const SHARED_MIN_PER_SECOND = 10;
/** Buckets kept; above this the one used longest ago goes. An account count of 4,100 fits. */
const MAX_BUCKETS = 10_000;

/**
 * Creates the retry budgets of a node: token buckets for each service, account and pool, and exponential backoff with full
 * jitter. The service's own ratio and minimum apply to its bucket; accounts and pools share the ratios of the options.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { baseMs = BASE_MS, maxMs = MAX_MS } = options;
  const shared = {
    ratio: options.sharedRatio ?? SHARED_RATIO,
    minPerSecond: options.sharedMinPerSecond ?? SHARED_MIN_PER_SECOND,
  };
  const random = xoroshiro128plus(options.seed);
  const buckets = new Map<string, TokenBucket>();
  const counts = { allowed: 0, refused: 0 };

  const selectBucket = (name: string, minPerSecond: number, earned: number): TokenBucket => {
    const now = readMonotonicMs();
    const bucket = buckets.get(name) ?? { tokens: minPerSecond, refilledAt: now };
    buckets.delete(name);
    buckets.set(name, bucket);
    const oldest = buckets.size > MAX_BUCKETS ? buckets.keys().next().value : undefined;
    if (oldest !== undefined) buckets.delete(oldest);
    updateBucket(bucket, minPerSecond, now, earned);
    return bucket;
  };

  const selectBuckets = (scope: RetryScope, retry: RetryConfig, attempts: number): TokenBucket[] => [
    selectBucket(`service:${scope.service}`, retry.minPerSecond, retry.ratio * attempts),
    selectBucket(`account:${scope.account}`, shared.minPerSecond, shared.ratio * attempts),
    selectBucket(`pool:${scope.pool}`, shared.minPerSecond, shared.ratio * attempts),
  ];

  return {
    recordAttempt: (scope, retry) => {
      selectBuckets(scope, retry, 1);
    },
    takeRetry: (scope, retry) => {
      const taken = selectBuckets(scope, retry, 0);
      const allowed = taken.every((bucket) => bucket.tokens >= 1);
      if (allowed) for (const bucket of taken) bucket.tokens -= 1;
      counts[allowed ? 'allowed' : 'refused'] += 1;
      return allowed;
    },
    computeBackoff: (attempt) => uniformFloat64(random) * Math.min(maxMs, baseMs * 2 ** (attempt - 1)),
    getCounts: () => ({ ...counts }),
  };
}
