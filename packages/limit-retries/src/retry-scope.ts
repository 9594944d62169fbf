/** What a retry is charged to: all three budgets must allow it. */
export interface RetryScope {
  readonly service: string;
  readonly account: string;
  readonly pool: string;
}
