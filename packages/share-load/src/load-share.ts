/** Work of other hosts at one backend server. */
export interface LoadShare {
  readonly inFlight: number;
  readonly pendingTokens: number;
  readonly heldTokens: number;
}
