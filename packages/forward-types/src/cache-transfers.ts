/** Where the cached pieces of a prompt are fetched from and saved to. The arrays have one entry per piece, `undefined` for no transfer. */
export interface CacheTransfers {
  /** Addresses of engines or stores that have the complete piece. */
  readonly fetchFrom: readonly (string | undefined)[];
  /** Addresses of stores that the piece is saved to. */
  readonly saveTo: readonly (string | undefined)[];
  /** Time on the engines' clock after which fetched pieces must not be used, milliseconds; `undefined` without a limit. */
  readonly fetchUntilMs: number | undefined;
}
