/** Limits of a client account over all nodes together. */
export interface AccountLimits {
  /** Requests per second. */
  readonly requestsPerSecond: number;
  /** Prompt and output tokens per second. */
  readonly tokensPerSecond: number;
  /** Requests in progress at once. */
  readonly concurrent: number;
}
