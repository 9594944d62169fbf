/** Retry budgets and backoff. */
export {};
