/** A node asks an account's home for its share of the limits. */
export interface ShareRequest {
  readonly account: string;
  readonly host: string;
  /** Demand since the last request, per second. */
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly concurrent: number;
}
