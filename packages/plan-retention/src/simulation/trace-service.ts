/** How prompts of one service come and return. */
export interface TraceService {
  readonly name: string;
  /** Mean time between new prompts, milliseconds. */
  readonly newEveryMs: number;
  /** Least and most pieces of a new prompt. */
  readonly pieces: readonly [number, number];
  /** Most pieces by which a prompt grows until its return. */
  readonly growth: number;
  readonly returnChance: number;
  /** Median of the log-normal gap until the return, milliseconds. */
  readonly gapMedianMs: number;
  /** Standard deviation of the logarithm of the gap. */
  readonly gapSpread: number;
}
