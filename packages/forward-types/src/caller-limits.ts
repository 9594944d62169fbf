/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Longest time for a request head, milliseconds. */
  readonly headerTimeoutMs: number;
  /** Longest time that a connection may stay idle, milliseconds. */
  readonly idleTimeoutMs: number;
}
