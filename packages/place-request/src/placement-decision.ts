import type { CandidateTrace } from '@laburnumshift/types';

/** A placement: the engine and the pieces to import. */
export interface PlacementDecision {
  readonly engine: string;
  readonly cachedPieces: number;
  /** Pieces from here on are imported while the ones before it are computed. */
  readonly headPieces: number;
  /** Imports end before this piece; equal to `headPieces` when nothing is imported. */
  readonly importEnd: number;
  readonly queueMs: number;
  readonly transferMs: number;
  /** Prefill of the head and of the rest. */
  readonly prefillMs: number;
  readonly estimateMs: number;
  readonly computedTokens: number;
  readonly movedBytes: number;
  readonly candidates: readonly CandidateTrace[];
}
