/** The entry of a server expires after three silent heartbeat intervals, the first of which may have begun before the outage. */
const MIN_MISSED_HEARTBEATS = 2;
/** Longest time from the end of the wait of a watch until its failure and the next call are over, milliseconds. */
const FAILURE_DELAY_MS = 700;

/**
 * Computes the least time for which calls to the store fail, as a host sees it, in an outage that can make entries of running servers
 * expire, milliseconds. The outage itself may begin a whole watch earlier.
 */
export function computeMinOutage(heartbeatMs: number, watchWaitMs: number): number {
  return Math.max(0, heartbeatMs * MIN_MISSED_HEARTBEATS - watchWaitMs - FAILURE_DELAY_MS);
}
