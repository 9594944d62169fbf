/** Writes the HTTP response to one caller. */
export interface CallerReply {
  readonly isHeadSent: () => boolean;
  /**
   * Writes the status line and the headers. Without a `Content-Length` the body is sent in chunks, so that it never ends with the
   * connection: a process that is killed would make a truncated response look complete.
   */
  readonly sendHead: (status: number, headers: readonly string[]) => void;
  /** Returns false when the write buffer is full; `onDrain` calls its handler once when it has drained. */
  readonly write: (bytes: Buffer) => boolean;
  readonly onDrain: (handler: () => void) => void;
  readonly end: (bytes?: Buffer) => void;
  /** Closes the connection in a way that the caller detects as an incomplete response. */
  readonly abort: () => void;
}
