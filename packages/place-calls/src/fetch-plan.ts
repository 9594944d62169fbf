/** How one engine gets the beginning of a prompt. */
export interface FetchPlan {
  /** Tokens that are cached at the engine. */
  readonly localTokens: number;
  /** Tokens that can be fetched. */
  readonly fetchTokens: number;
  /** How many times longer the fetch takes than on links without other traffic. */
  readonly slowdown: number;
  /** Address for each piece of the prompt, `undefined` where nothing is fetched. */
  readonly sources: readonly (string | undefined)[];
}
