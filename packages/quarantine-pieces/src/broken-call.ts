/** A call that lost its connection to a backend server before its answer was complete. */
export interface BrokenCall {
  readonly callId: string;
  /** What the call may share with other calls: see `listCallTraits`. */
  readonly traits: readonly string[];
  /** The server had produced the answer for some time, so the call is not what crashed it. */
  readonly isExonerated: boolean;
}
