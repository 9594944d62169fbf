/** Why no server was chosen for a call. */
export const REFUSAL_CAUSES = {
  noServer: 'no server',
  /** Every server left is one that the requesting host excluded. */
  allExcluded: 'no other server',
  /** All servers that may get calls are in evacuated failure domains. */
  allEvacuated: 'all failure domains are evacuated',
  allPaused: 'all servers asked for a pause',
  /** Every server left has as many calls as it states that it takes. */
  allLimited: 'all servers are at their limits',
  weights: 'weights are being replaced',
  noCapacity: 'no room',
  /** The call was sent before, and the resend budget is used up. */
  resendBudgetUsedUp: 'no repeats left',
} as const;
