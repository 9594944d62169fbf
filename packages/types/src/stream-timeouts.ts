/** Time limits of an engine stream, milliseconds. */
export interface StreamTimeouts {
  /** Time until the first token while the engine sends no interim answers. */
  readonly firstTokenMs: number;
  /** Time between two tokens; after a longer pause the stream fails with a `silent` error. */
  readonly betweenTokensMs: number;
  /**
   * Time until the first token while the engine reports with interim answers that it queues or computes the request. Each
   * interim answer must follow within `betweenTokensMs`. Default: `firstTokenMs`.
   */
  readonly deadlineMs?: number | undefined;
}
