/** A straight line through measured points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Largest distance of a point from the line, as a share of the largest value measured. */
  readonly error: number;
}
