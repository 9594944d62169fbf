/** The one mutable configuration object, kept at `config-head/main`. */
export interface ConfigHead {
  /** Rises by one with each change, never falls. */
  readonly generation: number;
  readonly changeId: string;
  readonly author: string;
  readonly publishedAtMs: number;
  /** Segment hash by declaration file. */
  readonly segments: Readonly<Record<string, string>>;
}
