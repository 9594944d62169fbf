/** Names of the service, the account and the pool whose budgets a retry is charged to; all three must allow it. */
export interface RetryScope {
  readonly service: string;
  readonly account: string;
  readonly pool: string;
}
