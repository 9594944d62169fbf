/** Time limits of an engine stream, milliseconds. */
export interface StreamLimits {
  /** Until the first token. */
  readonly firstTokenMs: number;
  /** Between two tokens; a longer pause counts as a silent connection. */
  readonly betweenTokensMs: number;
}
