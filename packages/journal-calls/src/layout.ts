/** The stored layout of the journal as one node knows it. */
export interface Layout {
  /** Number of shards, read from the platform when it is not known yet; `undefined` while it cannot be read. */
  readonly findShards: () => Promise<number | undefined>;
}
