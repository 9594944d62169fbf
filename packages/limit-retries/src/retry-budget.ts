import type { RetryConfig } from '@laburnumshift/types';
import type { RetryScope } from './retry-scope.js';

/** Retry budgets of one node. */
export interface RetryBudget {
  /** Counts a first attempt, which adds a fraction of a retry to the budgets of its service, account and pool. */
  readonly recordAttempt: (scope: RetryScope, retry: RetryConfig) => void;
  /** Takes one retry from each of the three budgets and returns true. Takes none and returns false when one of them has less than one retry. */
  readonly takeRetry: (scope: RetryScope, retry: RetryConfig) => boolean;
  /** Computes the delay before a retry, in milliseconds, at random below an exponentially growing limit. `attempt` is 1 for the first retry. */
  readonly computeBackoff: (attempt: number) => number;
  /** Returns the numbers of retries allowed and refused since the start, for metrics. */
  readonly getRetryCounts: () => Readonly<Record<'allowed' | 'refused', number>>;
}
