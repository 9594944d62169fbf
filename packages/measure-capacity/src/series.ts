import type { Point } from './point.js';

/** A quantity measured at several sizes. */
export interface Series {
  readonly name: string;
  /** Unit of `y`. */
  readonly unit: string;
  /** What `x` counts. */
  readonly per: string;
  readonly points: readonly Point[];
}
