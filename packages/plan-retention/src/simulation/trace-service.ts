/** Distribution of the prompts of one service and of their returns. */
export interface TraceService {
  readonly name: string;
  /** Mean time between new prompts, milliseconds. */
  readonly meanArrivalIntervalMs: number;
  /** Minimum and maximum number of pieces of a new prompt. */
  readonly pieces: readonly [number, number];
  /** Maximum number of pieces added to a prompt at each return. */
  readonly maxGrowthPieces: number;
  /** Probability of another return after each use, 0 to 1. */
  readonly returnProbability: number;
  /** Median of the log-normal gap before a return, milliseconds. */
  readonly medianGapMs: number;
  /** Standard deviation of the logarithm of the gap. */
  readonly gapLogStdDev: number;
}
