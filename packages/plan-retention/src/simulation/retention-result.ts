/** Result of a simulation, not counting the warm-up. */
export interface RetentionResult {
  readonly planner: string;
  readonly requests: number;
  readonly promptTokens: number;
  /** Share of the prompt tokens that engines computed, 0 to 1. */
  readonly recomputedTokenShare: number;
  /** Share of the prompt tokens in pieces that occur for the first time, 0 to 1; a lower limit of `recomputedTokenShare`. */
  readonly newTokenShare: number;
  /** Modelled bytes transferred over the link in both directions. */
  readonly movedBytes: number;
  readonly importedBytes: number;
  readonly exportedBytes: number;
}
