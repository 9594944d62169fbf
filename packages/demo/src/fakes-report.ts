/** Counters of all fakes of the demo. */
export interface FakesReport {
  readonly computedTokens: number;
  readonly cachedTokens: number;
  readonly importedTokens: number;
  /** Answers that used a block of another client account or weight version. */
  readonly wrongBlocks: number;
  /** Bytes moved over the store links. */
  readonly linkBytes: number;
  /** Runs by idempotency key. */
  readonly runs: Readonly<Record<string, number>>;
  readonly platformCalls: Readonly<Record<string, number>>;
}
