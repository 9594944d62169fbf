/**
 * Lengths of the parts of a run, milliseconds. The traffic outlasts the earliest leaving by more than 3 s, so that I7 has
 * calls to see.
 */
export const SCHEDULE_TIMES = {
  traffic: 4_800,
  lastLeaving: 600,
  lastFault: 3_000,
  longestFault: 2_500,
  lastPublication: 3_500,
} as const;
