/** Outcome of a simulation, after the warm-up. */
export interface RetentionFigures {
  readonly planner: string;
  readonly requests: number;
  readonly promptTokens: number;
  /** Share of the prompt tokens that engines computed. */
  readonly recomputedShare: number;
  /** Share that no planner can avoid, because the text is new. */
  readonly newShare: number;
  /** Modelled bytes over the link in both directions. */
  readonly movedBytes: number;
  readonly importedBytes: number;
  readonly exportedBytes: number;
}
