/** Weights of a service in the placement cost, in cost units (1 unit = 1 ms of waiting). */
export interface PlacementWeights {
  /** Cost per millisecond until the first token. */
  readonly perMs: number;
  /** Cost per 1,000 prompt tokens recomputed. */
  readonly perKiloTokenRecomputed: number;
  /** Cost per mebibyte transferred over the link of a store. */
  readonly perMebibyteMoved: number;
}
