import type { CandidateTrace } from './candidate-trace.js';
import type { ImportRef } from './import-ref.js';

/** A placement: which engine, on which version, with which imports. */
export interface Grant {
  readonly engine: string;
  readonly url: string;
  readonly weightVersion: string;
  readonly cacheScope: string;
  readonly cachedPieces: number;
  readonly headPieces: number;
  readonly imports: readonly ImportRef[];
  /** Estimated milliseconds until the first token. */
  readonly estimateMs: number;
  readonly candidates: readonly CandidateTrace[];
}
