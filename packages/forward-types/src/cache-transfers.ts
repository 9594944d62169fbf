/** Where an engine gets and keeps the pieces of a prompt; one entry for each piece, `undefined` for none. */
export interface CacheTransfers {
  /** Addresses of engines and stores that have the piece whole. */
  readonly fetchFrom: readonly (string | undefined)[];
  /** Addresses of stores that shall keep the piece. */
  readonly saveTo: readonly (string | undefined)[];
  /** Time on the engines' clock after which fetched pieces are not used, milliseconds. */
  readonly fetchUntilMs: number | undefined;
}
