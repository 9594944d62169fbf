import type { TraceRequest } from './trace-request.js';

/** What became of one simulated request. */
export interface RequestResult {
  readonly request: TraceRequest;
  /** Milliseconds from arrival to the first token; the deadline when it was refused. */
  readonly ttftMs: number;
  readonly refused: boolean;
  readonly computedTokens: number;
  /** Computed tokens that had been computed before for an earlier request. */
  readonly recomputedTokens: number;
  /** The part of the recomputed tokens that no store held when the engine was chosen. */
  readonly missedTokens: number;
}
