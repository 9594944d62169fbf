/** When servers that are at their limits take further calls of this host. */
export interface RoomForecast {
  /** Time until the first of them takes a call, milliseconds; 0 when one takes a call now. */
  readonly firstMs: number;
  /** Mean time between two calls that they take together, milliseconds. */
  readonly perCallMs: number;
}
