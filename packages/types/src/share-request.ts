/** Request of a node to the home node of an account for a share of the account's limits. */
export interface ShareRequest {
  readonly account: string;
  readonly host: string;
  /** Demand since the last request, per second. */
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrent: number;
}
