/** What the fake engine has done since it started, over all boots. */
export interface EngineCounters {
  promptTokensComputed: number;
  promptTokensCached: number;
  promptTokensImported: number;
  /** Output tokens of an earlier attempt that were computed again as input. */
  resumedTokens: number;
  /** Output tokens that were sent. */
  outputTokens: number;
  /** Runs that began, by request id. */
  readonly runs: Record<string, number>;
  /** Runs that began, by weight version. */
  readonly runsByVersion: Record<string, number>;
  /** Modelled bytes that imports moved, misses included. */
  importedBytes: number;
  /** Modelled bytes that exports moved. */
  exportedBytes: number;
  importMisses: number;
  /** Answers that used a block of another scope, weight version or text; must stay 0. */
  foreignAnswers: number;
  crashes: number;
}
