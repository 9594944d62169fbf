/** Counters of all fakes of a site. */
export interface SiteReport {
  readonly computedTokens: number;
  readonly cachedTokens: number;
  readonly importedTokens: number;
  /** Answers that used a block of another client account or weight version. */
  readonly foreignAnswers: number;
  readonly linkBytes: number;
  /** Greatest share of a store's link that was used in one second. */
  readonly peakLinkUse: number;
  /** Runs of plain calls by idempotency key. */
  readonly runs: Readonly<Record<string, number>>;
  readonly platformCalls: Readonly<Record<string, number>>;
  /** Wall time at which each engine last began a run, milliseconds; it is looked at every 20 ms. */
  readonly lastRunAtMs: Readonly<Record<string, number>>;
}
