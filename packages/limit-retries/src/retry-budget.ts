import type { RetryConfig } from '@laburnumshift/types';
import type { RetryScope } from './retry-scope.js';

/** Retry allowance of one node. */
export interface RetryBudget {
  /** Counts a first attempt, which earns its share of a retry for the service, the account and the pool. */
  readonly recordAttempt: (scope: RetryScope, retry: RetryConfig) => void;
  /** Takes one retry from the three budgets; takes from none when one of them is empty. */
  readonly takeRetry: (scope: RetryScope, retry: RetryConfig) => boolean;
  /** Computes the pause before a retry, milliseconds; `attempt` is 1 for the first retry. */
  readonly computeBackoff: (attempt: number) => number;
  /** Retries allowed and refused so far, for metrics. */
  readonly getCounts: () => Readonly<Record<'allowed' | 'refused', number>>;
}
