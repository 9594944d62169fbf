import type { CandidateTrace } from './candidate-trace.js';
import type { ImportRef } from './import-ref.js';

/** A placement of a request: the engine, the weight version and the pieces to import. */
export interface EnginePlacement {
  readonly engine: string;
  readonly url: string;
  readonly weightVersion: string;
  readonly cacheScope: string;
  readonly cachedPieces: number;
  /** Pieces before this index are cached or computed; the following ones are imported concurrently. */
  readonly headPieces: number;
  readonly imports: readonly ImportRef[];
  /** Estimated time until the first token, milliseconds. */
  readonly estimateMs: number;
  readonly candidates: readonly CandidateTrace[];
}
