/** What is expected of a prompt that has not been used for some time. */
export interface ReturnEstimate {
  /** Chance that it comes back at all, 0 to 1. */
  readonly chance: number;
  /** Median time until then if it does, milliseconds. */
  readonly gapMs: number;
  /** Time after which it has almost certainly come back if it ever does, milliseconds. */
  readonly giveUpMs: number;
}
