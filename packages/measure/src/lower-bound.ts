import type { ClassFigures } from './class-figures.js';

/** What perfect knowledge could reach at best. */
export interface LowerBound {
  readonly interactive: ClassFigures;
  readonly computedShare: number;
}
