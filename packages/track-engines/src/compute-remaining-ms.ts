/** Least share of its expected time that a call still takes, since expected times are means of calls that differ. */
const MIN_REMAINING_SHARE = 0.5;
/**
 * Time that a call still takes as a share of the time that it has run, once that is longer than expected. A call that takes long is one
 * of the long ones of its kind, or its server is slower than it says.
 */
const OVERDUE_SHARE = 0.5;
/** Most that a call still takes as a multiple of its expected time. */
const MAX_OVERDUE_FACTOR = 2.5;

/**
 * Estimates the time that a call still takes at a server of usual speed, milliseconds.
 *
 * @param expectedMs time that the whole call takes
 * @param elapsedMs time since the call was sent
 * @param slowness factor by which work takes longer than usual at the server
 * @param runningShare share of the calls at the server that run; the others are queued, and do not get on
 */
export function computeRemainingMs(
  expectedMs: number,
  elapsedMs: number,
  slowness: number,
  runningShare: number,
): number {
  const ranMs = (elapsedMs * runningShare) / slowness;
  if (ranMs <= expectedMs) return Math.max(expectedMs * MIN_REMAINING_SHARE, expectedMs - ranMs);
  return Math.min(ranMs * OVERDUE_SHARE, expectedMs * MAX_OVERDUE_FACTOR);
}
