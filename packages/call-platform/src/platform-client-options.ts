/** Settings of a platform client. */
export interface PlatformClientOptions {
  /** Base URL of the platform. */
  readonly url: string;
  /** Budget of this node for writes and deletions. */
  readonly writesPerSecond: number;
  /** Budget of this node for reads, listings and watches. */
  readonly readsPerSecond: number;
  /** Time allowed for one attempt, milliseconds; 1,000 by default. */
  readonly attemptMs?: number | undefined;
  /** Time allowed for a call with its retries, milliseconds; 3,000 by default. */
  readonly deadlineMs?: number | undefined;
  /** Waiting time of a watch, milliseconds; 25,000 by default. */
  readonly watchMs?: number | undefined;
  /** Seed of the backoff jitter; random by default. */
  readonly seed?: number | undefined;
}
