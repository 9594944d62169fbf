/** Head of a received HTTP request. */
export interface RawHead {
  readonly method: string;
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
}
