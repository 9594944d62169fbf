import type { Placement } from './placement.js';
import type { ScoreTerms } from './score-terms.js';

/** An engine with the estimates for the call there and the score by which engines are compared. */
export interface ScoredPlacement extends Placement {
  /** Sum of the terms, milliseconds of delay. */
  readonly score: number;
  readonly terms: ScoreTerms;
}
