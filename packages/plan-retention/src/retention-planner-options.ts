import type { PlacementWeights } from '@laburnumshift/types';

/** Options of a retention planner. */
export interface RetentionPlannerOptions {
  /** Modelled bytes of a full piece. */
  readonly pieceBytes: number;
  /** Tokens in a full piece. */
  readonly pieceTokens: number;
  /** Prefill rate of one engine, tokens per second. */
  readonly prefillTokensPerSecond: number;
  /** Prices of a service. */
  readonly getWeights: (service: string) => PlacementWeights;
  /** Bytes that an account may keep in all stores of the pool; default no bound. */
  readonly getQuotaBytes?: (account: string) => number;
  /** Pieces expected back within this time go to memory; default 300,000 ms. */
  readonly soonMs?: number;
  /** Prefetch looks at least this far ahead; default 60,000 ms. */
  readonly prefetchMs?: number;
  /** Prefetch needs at least this chance of a return within that time; default 0.15. */
  readonly prefetchChance?: number;
  /** No export is planned while more than this time of transfers waits on the link; default 30,000 ms. */
  readonly exportQueueMs?: number;
  /** Bound on the pieces whose uses are remembered; default 200,000. */
  readonly maxPieces?: number;
}
