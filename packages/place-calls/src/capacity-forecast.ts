/** When full servers have capacity for further calls. */
export interface CapacityForecast {
  /** Expected time until the first of them has capacity, milliseconds. */
  readonly firstMs: number;
  /** Mean time between two calls that they complete together, milliseconds. */
  readonly perCallMs: number;
}
