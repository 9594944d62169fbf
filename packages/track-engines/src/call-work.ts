/** Work that a call brings to an engine, tokens. */
export interface CallWork {
  readonly uncachedTokens: number;
  readonly totalTokens: number;
}
