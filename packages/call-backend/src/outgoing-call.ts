/** Control of a call that was handed to the connection pool. */
export interface OutgoingCall {
  /** True when bytes of the call may have reached the server. */
  readonly isSent: () => boolean;
  /** Aborts the call and closes its connection. No handler is called afterwards. */
  readonly cancel: () => void;
  /**
   * Ignores the body of the answer, and reads it up to a limit so that the connection can be reused. No handler is called
   * afterwards.
   */
  readonly discard: () => void;
  /** Pause and resume reading the answer. */
  readonly pause: () => void;
  readonly resume: () => void;
}
