/** A repeatable stream of random numbers. */
export interface RandomSource {
  /** A number from 0 to below 1. */
  readonly pickUniform: () => number;
  /** An integer between both bounds, both included. */
  readonly pickInteger: (from: number, to: number) => number;
  readonly pickExponential: (mean: number) => number;
  readonly pickLogNormal: (median: number, sigma: number) => number;
}
