/** A call on its way. */
export interface SentCall {
  /** Ends the call and its connection; no handler is called afterwards. */
  readonly cancel: () => void;
  /** Stops and continues the flow of the answer's bytes. */
  readonly pause: () => void;
  readonly resume: () => void;
}
