/**
 * Intervals and bounds of the code that the sums use, seconds. They are repeated here because the packages do not export
 * them; a changed constant there needs the same change here.
 */
export const MECHANISM = {
  heartbeatsPerSecond: 2,
  configPollS: 5,
  configHeadRelay: 'head',
  hostWatcherPollS: 0.5,
  hostPollS: 5,
  hostRelay: 'list',
  loadPollS: 0.25,
  statPollS: 0.5,
  storeListS: 30,
  storesPerCell: Infinity,
  planS: 1,
  /** The pause is at least so many times the last planning time. */
  planPauseFactor: 100,
  shareIdleS: 20,
  shareRefreshS: 2,
  /** False while a share is refreshed by time alone, true when only use refreshes it. */
  shareByUse: false,
  orderReadsPerSecond: Infinity,
  orderPeriodS: 0.5,
  servicePollS: 1,
  serversPolled: Infinity,
  cellSweepS: 5,
  homeLookup: 'rank all members',
  watchWaitS: 25,
  watchersPerDomain: 2,
  leaseRenewS: 3,
  journalWriteS: 0.08,
  runHomeEntryS: 300,
  maxRunHomeEntries: 50_000,
  maxJournalEntries: 20_000,
};
