/** Time limits of an engine stream, milliseconds. */
export interface StreamLimits {
  /** Until the first token, as long as the engine sends no sign of progress. */
  readonly firstTokenMs: number;
  /** Between two tokens; a longer pause counts as a silent connection. */
  readonly betweenTokensMs: number;
  /**
   * Until the first token while the engine shows with interim answers that it waits or computes; such an answer is awaited
   * within `betweenTokensMs`. `firstTokenMs` when absent.
   */
  readonly deadlineMs?: number | undefined;
}
