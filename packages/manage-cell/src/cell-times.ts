/** Times of a cell's home, milliseconds. */
export const CELL_TIMES = {
  loadEveryMs: 250,
  /** Each engine of a cell adds this to the pause, which keeps the load reports of 24 engines below 18 KB/s. */
  loadEngineMs: 30,
  /** A load report describes the engine about this long before it arrives. */
  loadLagMs: 300,
  /** Without a load report for this long an engine counts as silent. */
  silentMs: 1500,
  eventRetryMs: 250,
  /** A full list of an engine's pieces now and then repairs what events cannot show. */
  relistMs: 300_000,
  statEveryMs: 500,
  /** Repairs directory entries that were lost or became stale. */
  listEveryMs: 30_000,
  /** A store to which another home wrote is listed again after this: a home that was not known to the others for a moment. */
  foreignListMs: 1000,
  /** Each piece of a store adds this to the pause before it is listed again; a piece takes about 240 bytes. */
  listPieceMs: 100,
  changesEveryMs: 1000,
  sweepEveryMs: 50,
  /** A grant that nobody fetches is withdrawn after this time. */
  grantKeptMs: 1000,
  backoffMs: 500,
  maxBackoffMs: 5000,
  /** Exports and prefetches start only while the link queue is shorter than this. */
  idleLinkMs: 50,
  noEngineRetryMs: 1000,
  /** Requests wait this long for an engine before they are refused: a restart takes about 500 ms, the first report of a
   * new home less. */
  noEngineMs: 2000,
  /** Time allowed for the report of a run, beyond its estimated duration. */
  reportGraceMs: 30_000,
} as const;
