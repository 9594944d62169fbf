import type { ScoreTerms } from './score-terms.js';

/** Computes the score of a candidate from its terms. */
export function computeScore(terms: ScoreTerms): number {
  return Object.values(terms).reduce((sum, term) => sum + term, 0);
}
