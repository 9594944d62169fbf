/** How much of a prompt's beginning an engine has cached. */
export interface CachedChain {
  readonly pieces: number;
  readonly tokens: number;
}
