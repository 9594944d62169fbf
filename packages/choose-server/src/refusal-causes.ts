/** Why no server was chosen for a call. */
export const REFUSAL_CAUSES = {
  noServer: 'no server',
  /** Every server left is one that the requesting host excluded. */
  excluded: 'no other server',
  paused: 'all servers asked for a pause',
  weights: 'weights are being replaced',
  noRoom: 'no room',
  /** The call was sent before, and the resend budget is used up. */
  repeats: 'no repeats left',
} as const;
