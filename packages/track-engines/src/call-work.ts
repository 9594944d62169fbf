/** Work that a call adds to an engine, tokens. */
export interface CallWork {
  /** Prompt tokens that the engine has to prefill. */
  readonly uncachedTokens: number;
  /** Tokens that the call holds in the engine's memory: its prompt and a share of its output. */
  readonly totalTokens: number;
  /** Time that the call takes at a server of usual speed, milliseconds; `undefined` when unknown. */
  readonly expectedMs?: number | undefined;
}
