/** Head of a received HTTP request. */
export interface RequestHead {
  readonly method: string;
  readonly target: string;
  /** Names and values alternating. */
  readonly headers: readonly string[];
}
