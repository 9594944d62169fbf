/** Figures of the demo; times in milliseconds. */
export interface DemoFigures {
  readonly firstTokenFirstMs: number;
  readonly firstTokenReturnMs: number;
  /** Prompt tokens of the return that were computed again, as a share of all its prompt tokens. */
  readonly shareRecomputedOnReturn: number;
  readonly linkBytes: number;
  readonly urgentP95Ms: number;
  readonly urgentAnswered: number;
  readonly bookingRuns: number;
  readonly bookingAfterKillRuns: number;
  readonly wrongBlocks: number;
  /** Promises that were broken; empty when all held. */
  readonly broken: readonly string[];
}
