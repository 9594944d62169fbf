/** Limits of a client account, summed over all nodes. */
export interface AccountLimits {
  /** Requests per second. */
  readonly requestsPerSecond: number;
  /** Prompt and output tokens per second. */
  readonly tokensPerSecond: number;
  /** Requests in progress at once. */
  readonly concurrent: number;
}
