import type { LowerBound } from './lower-bound.js';
import type { RunFigures } from './run-figures.js';

/** The figures of one load variant. */
export interface VariantFigures {
  readonly lowerBound: LowerBound;
  readonly candidates: Readonly<Record<string, RunFigures>>;
}
