import type { PlacementWeights } from '@laburnumshift/types';

/** Options of a retention planner. */
export interface RetentionPlannerOptions {
  /** Modelled size of a complete piece, bytes. */
  readonly pieceBytes: number;
  /** Tokens in a complete piece. */
  readonly pieceTokens: number;
  /** Prefill rate of one engine, tokens per second. */
  readonly prefillTokensPerSecond: number;
  /** Returns the cost weights of a service. */
  readonly getWeights: (service: string) => PlacementWeights;
  /** Returns the bytes that an account may keep in all stores of the pool; unlimited by default. */
  readonly getQuotaBytes?: (account: string) => number;
  /** Longest expected gap of a piece that is exported to memory first, milliseconds; default 300,000. */
  readonly maxMemoryGapMs?: number;
  /** Shortest horizon of prefetch, milliseconds; default 60,000. */
  readonly minPrefetchHorizonMs?: number;
  /** Least probability of a use within the horizon for a prefetch, 0 to 1; default 0.15. */
  readonly minPrefetchProbability?: number;
  /** No export is planned beyond this transfer time of the queue on the link, milliseconds; default 30,000. */
  readonly maxExportQueueMs?: number;
  /** Limit on the pieces with a usage record; default 200,000. The least recently used records are evicted. */
  readonly maxTrackedPieces?: number;
}
