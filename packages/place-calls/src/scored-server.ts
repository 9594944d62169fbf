import type { ScoreTerms } from './score-terms.js';

/** A server of a plain service with the score by which servers are compared. */
export interface ScoredServer {
  readonly id: string;
  /** Expected time to the answer, milliseconds; 0 when unknown. */
  readonly expectedMs: number;
  /** Sum of the terms: milliseconds of delay, or shares of the slots when the cost of calls is unknown. */
  readonly score: number;
  readonly terms: ScoreTerms;
}
