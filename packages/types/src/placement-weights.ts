/** Prices that a service puts on time, recomputation and link use, in cost units (1 unit = 1 ms of waiting). */
export interface PlacementWeights {
  /** Cost per millisecond until the first token. */
  readonly perMs: number;
  /** Cost per 1,000 prompt tokens recomputed. */
  readonly perKiloTokenRecomputed: number;
  /** Cost per mebibyte moved over a store link. */
  readonly perMebibyteMoved: number;
}
