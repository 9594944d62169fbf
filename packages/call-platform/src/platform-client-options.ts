/** Options of a platform client. */
export interface PlatformClientOptions {
  /** Base URL of the platform. */
  readonly url: string;
  /** Rate limit of this node for writes and deletions. */
  readonly writesPerSecond: number;
  /** Rate limit of this node for reads, listings and watches. */
  readonly readsPerSecond: number;
  /** Timeout of one attempt, milliseconds; default 1,000. */
  readonly attemptTimeoutMs?: number | undefined;
  /** Timeout of a call including its retries, milliseconds; default 3,000. */
  readonly deadlineMs?: number | undefined;
  /** Duration of a long poll of a watch, milliseconds; default 25,000. */
  readonly longPollMs?: number | undefined;
  /** Seed of the backoff jitter; default random. */
  readonly seed?: number | undefined;
}
