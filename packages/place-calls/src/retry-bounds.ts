/** Bounds of the time after which refused callers are told to retry. */
export const RETRY_BOUNDS = {
  /** Shortest time in which a queue changes enough for a retry to be useful, milliseconds. */
  minMs: 300,
  /** Largest share of the caller's remaining time; callers honour a delay of up to a third of it. */
  maxRemainingShare: 0.3,
} as const;
