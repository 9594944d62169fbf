/** The only mutable configuration object, stored as the platform object `config-head/main`. */
export interface ConfigHead {
  /** Increases by one with each change and never decreases. */
  readonly generation: number;
  readonly changeId: string;
  readonly author: string;
  readonly publishedAtMs: number;
  /** Hash of the segment of each declaration file, by the path of the file. */
  readonly segments: Readonly<Record<string, string>>;
}
