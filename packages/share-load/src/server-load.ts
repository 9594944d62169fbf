/** Load at one backend server. */
export interface ServerLoad {
  /** Number of calls. */
  readonly inFlight: number;
  /** Uncached prompt tokens of calls whose answer has not begun. */
  readonly pendingTokens: number;
  /** Tokens that the calls hold in the memory of the server. */
  readonly heldTokens: number;
}
