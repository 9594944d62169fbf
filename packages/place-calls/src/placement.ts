/** The chosen engine, with the estimates for the call there. */
export interface Placement {
  readonly id: string;
  /** Expected time to the first event, milliseconds. */
  readonly expectedMs: number;
  /** The part of `expectedMs` before the engine starts to prefill the prompt, milliseconds. */
  readonly queueMs: number;
  /** Prompt tokens that the engine has to prefill. */
  readonly uncachedTokens: number;
  /** Share of the engine's memory in use by running calls and this one; above 1 when it does not fit. */
  readonly memoryShare: number;
  /** Factor by which work takes longer than usual at the engine. */
  readonly slowness: number;
}
