/**
 * Intervals and bounds of the code that the sums use, seconds. They are repeated here because the packages do not export
 * them; a changed constant there needs the same change here.
 */
export const MECHANISM = {
  /** A link is pinged after 2 s of silence, at the next beat of 500 ms. */
  quietS: 2,
  quietBeatS: 2.25,
  /** Calls to other nodes for one request: claim, placement and report. */
  callsPerRequest: 3,
  configPollS: 5,
  configFilesPerPoll: 400,
  hostWatcherPollS: 0.5,
  hostPollS: 5,
  /** Each listed host adds this to the pause of a watcher; of another node ten times as much. */
  hostEntryS: 0.005,
  hostOthers: 10,
  loadPollS: 0.25,
  loadEngineS: 0.03,
  statPollS: 0.5,
  storeListS: 30,
  storeListPieceS: 0.1,
  minStoresPerCell: 2,
  planS: 1,
  /** The pause is at least so many times the last planning time. */
  planPauseFactor: 100,
  shareRefreshS: 2,
  shareNodeS: 0.128,
  shareMaxS: 60,
  refreshesPerShare: 3,
  /** While all engines are as declared. */
  orderIdleReads: 16,
  orderPeriodS: 0.5,
  servicePollS: 1,
  serversPolled: 16,
  cellSweepS: 5,
  homeLookup: 'find the first',
  watchWaitS: 25,
  watchersPerDomain: 2,
  leaseRenewS: 3,
  journalWriteS: 0.08,
  runHomeEntryS: 300,
  maxRunHomeEntries: 50_000,
  maxJournalEntries: 20_000,
};
