/** The chosen engine. */
export interface Placement {
  readonly id: string;
  /** Expected time to the first event, milliseconds. */
  readonly expectedMs: number;
  /** Tokens that the engine has to read. */
  readonly uncachedTokens: number;
  /** Engine that is asked for cached pieces first. */
  readonly fetchFrom: string | undefined;
}
