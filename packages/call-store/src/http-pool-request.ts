/** A request to the peer of an HTTP pool. */
export interface HttpPoolRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Path and query. */
  readonly path: string;
  /** Sent as JSON; absent for a request without a body. */
  readonly body?: unknown;
  /** Timeout for the head of the response, milliseconds. */
  readonly timeoutMs: number;
  /** For a peer that sends interim responses (status 102) while it works. The first one ends the timeout `timeoutMs`. */
  readonly progress?:
    | {
        /** Timeout after each interim response, milliseconds. */
        readonly pauseTimeoutMs: number;
        /** Timeout for the head of the final response, regardless of interim responses, milliseconds. */
        readonly deadlineMs: number;
      }
    | undefined;
  readonly signal?: AbortSignal | undefined;
}
