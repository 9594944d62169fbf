import type { CandidateTrace } from '@laburnumshift/types';

/** A placement decision: the engine, the pieces to import, and the estimates. */
export interface PlacementDecision {
  readonly engine: string;
  /** Leading pieces that the engine has cached. */
  readonly cachedPieces: number;
  /** Index of the first imported piece; the missing pieces before it, the head, are computed during the transfer. */
  readonly headPieces: number;
  /** Index after the last imported piece; equal to `headPieces` when nothing is imported. */
  readonly importEnd: number;
  readonly queueMs: number;
  readonly transferMs: number;
  /** Prefill time of the head and of the pieces after the imports. */
  readonly prefillMs: number;
  /** Estimated time until the first token: queue, transfer and prefill, where transfer and prefill of the head overlap. */
  readonly estimateMs: number;
  readonly computedTokens: number;
  readonly movedBytes: number;
  /** Estimates of all eligible engines; empty for baseline policies. */
  readonly candidates: readonly CandidateTrace[];
}
