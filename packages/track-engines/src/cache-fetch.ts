/** A fetch of cached tokens from one source. */
export interface CacheFetch {
  /** Address of the engine or store that has the tokens. */
  readonly source: string;
  readonly tokens: number;
}
