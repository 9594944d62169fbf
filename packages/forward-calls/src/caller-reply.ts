/** Writes the HTTP response to one caller. */
export interface CallerReply {
  readonly isHeadSent: () => boolean;
  /**
   * Writes the status line and the headers. When `isDelimited` is false, the body has neither a length nor chunks and ends with
   * the connection, so that the response does not claim a completeness that the backend server did not state.
   */
  readonly sendHead: (status: number, headers: readonly string[], isDelimited: boolean) => void;
  /** True when the body has a length or is chunked, so that the caller can detect a truncated response. */
  readonly isBodyDelimited: () => boolean;
  /** Returns false when the write buffer is full; `onDrain` calls its handler once when it has drained. */
  readonly write: (bytes: Buffer) => boolean;
  readonly onDrain: (handler: () => void) => void;
  readonly end: (bytes?: Buffer) => void;
  /** Closes the connection in a way that the caller detects as an incomplete response. */
  readonly abort: () => void;
}
