/** How one engine gets the cached prefix of a prompt. */
export interface FetchPlan {
  /** Tokens that are in the engine's own cache. */
  readonly localTokens: number;
  /** Further tokens that can be fetched. */
  readonly fetchTokens: number;
  /** Factor by which the fetch takes longer than on idle links, 1 or more. */
  readonly slowdown: number;
  /** Address of the source for each piece of the prompt; `undefined` where no source is known or the piece is not used. */
  readonly sources: readonly (string | undefined)[];
}
