/** Intervals, timeouts and thresholds of a cell's home, milliseconds. */
export const CELL_TIMING = {
  /** Least interval between two load reads of an engine. */
  loadPollIntervalMs: 250,
  /** Load poll interval for each engine of the cell; keeps the load reports of 24 engines below 18 KB/s. */
  loadPollMsPerEngine: 30,
  /** Assumed age of the state in a load report when it arrives. */
  loadReportLagMs: 300,
  /** An engine without a load report for this long gets no new requests. */
  silentMs: 1500,
  /** Shortest delay before the cache event stream is opened again. */
  eventRetryDelayMs: 250,
  /** All pieces of an engine are listed again after this long, which repairs differences that events do not show. */
  engineListIntervalMs: 300_000,
  statPollIntervalMs: 500,
  /** Interval between full lists of a store, which repair missing and stale directory entries. */
  storeListIntervalMs: 30_000,
  /**
   * Least interval between full lists of a store when another home wrote to it. That happens while two nodes briefly
   * disagree on the home of the cell.
   */
  minStoreListIntervalMs: 1000,
  /** Least list interval for each piece of the store; a listed piece takes about 240 bytes. */
  storeListMsPerPiece: 100,
  /** Least interval between two retention plans. */
  retentionPlanIntervalMs: 1000,
  expiryCheckIntervalMs: 50,
  /** A reply that no caller fetches is dropped after this time, and a grant is withdrawn. */
  unfetchedGrantTimeoutMs: 1000,
  initialBackoffMs: 500,
  maxBackoffMs: 5000,
  /** Exports and moves to memory start only while the link queue is at most this long. */
  idleLinkQueueMs: 50,
  /** Retry delay in refusals for lack of an engine. */
  noEngineRetryDelayMs: 1000,
  /**
   * Requests wait this long for a usable engine before they are refused. An engine restart takes about 500 ms, the first
   * load report to a new home less.
   */
  noEngineTimeoutMs: 2000,
  /** Time allowed for the report of a run after its longest expected duration. */
  runReportGraceMs: 30_000,
} as const;
