/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Longest time for receiving a request head, milliseconds. */
  readonly headerTimeoutMs: number;
  /** Longest time for which a connection may be idle, milliseconds. */
  readonly idleTimeoutMs: number;
}
