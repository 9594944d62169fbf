/** The chosen engine. */
export interface Placement {
  readonly id: string;
  /** Expected time to the first event, milliseconds. */
  readonly expectedMs: number;
  /** Part of that before the engine begins to read, milliseconds. */
  readonly queueMs: number;
  /** Tokens that the engine has to read. */
  readonly uncachedTokens: number;
  /** Share of the engine's memory that running calls hold with this one. */
  readonly memoryShare: number;
}
