/** The answer to one caller. */
export interface CallerReply {
  readonly isHeadSent: () => boolean;
  /** Without a length the body ends with the connection, so that nothing vouches for an answer that may have broken off. */
  readonly sendHead: (status: number, headers: readonly string[], hasLength: boolean) => void;
  /** Whether the head said that the body has a length. */
  readonly hasLength: () => boolean;
  /** False when the caller reads more slowly than bytes come; `onDrain` tells when to go on. */
  readonly write: (bytes: Buffer) => boolean;
  readonly onDrain: (handler: () => void) => void;
  readonly end: (bytes?: Buffer) => void;
  /** Ends the connection so that the answer does not look complete. */
  readonly abort: () => void;
}
