/** Retry budgets, which limit retries to a ratio of first attempts, and exponential backoff. */
export { createRetryBudget } from './create-retry-budget.js';
export type { RetryBudget } from './retry-budget.js';
export type { RetryBudgetOptions } from './retry-budget-options.js';
export type { RetryScope } from './retry-scope.js';
