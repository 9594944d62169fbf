/** A timer with at most one pending run, the earliest that was asked for. */
export interface EarliestTimer {
  /** Runs after `delayMs` milliseconds unless an earlier run is pending. */
  readonly schedule: (delayMs: number) => void;
  /** Stops the pending run and ignores further requests. */
  readonly close: () => void;
}
