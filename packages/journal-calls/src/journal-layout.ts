/** The layout of the journal that is stored on the platform, cached by one node. */
export interface JournalLayout {
  /**
   * Returns the number of shards, read from the platform if not cached; `undefined` while the platform cannot be read.
   */
  readonly getShardCount: () => Promise<number | undefined>;
}
