/** The answer to one caller. */
export interface CallerReply {
  readonly isHeadSent: () => boolean;
  readonly sendHead: (status: number, headers: readonly string[]) => void;
  /** False when the caller reads more slowly than bytes come; `onDrain` tells when to go on. */
  readonly write: (bytes: Buffer) => boolean;
  readonly onDrain: (handler: () => void) => void;
  readonly end: (bytes?: Buffer) => void;
  /** Ends the connection so that the answer does not look complete. */
  readonly abort: () => void;
}
