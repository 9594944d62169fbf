/** Seeded random numbers of one stream. */
export interface RandomSource {
  /** From 0 to below 1. */
  readonly pickUniform: () => number;
  readonly pickInteger: (from: number, to: number) => number;
  readonly pickExponential: (mean: number) => number;
  readonly pickLogNormal: (median: number, sigma: number) => number;
}
