import type { BackendEntry, ForwardService } from '@laburnumshift/forward-types';

/** Bound of the difference between the wall clocks of hosts and servers, and of the time until an entry arrives, milliseconds. */
const MAX_CLOCK_SKEW_MS = 2000;

/**
 * Computes until when a server is cold, monotonic milliseconds; `undefined` when it never was as far as this host knows. A time that was
 * stated before is never shortened, as entries and answers may arrive in another order than they were written. The time in transit is
 * not subtracted: only its upper bound is known, and a server that is taken for warm too early may crash.
 */
export function computeColdUntil({
  entry,
  before,
  isInitial,
  service,
  nowMs,
  nowWallMs,
}: {
  readonly entry: BackendEntry;
  /** The known entry with the same id, if any. */
  readonly before: BackendEntry | undefined;
  /** The entry was in the first list of this process, so its server may have started at any time. */
  readonly isInitial: boolean;
  readonly service: ForwardService | undefined;
  readonly nowMs: number;
  readonly nowWallMs: number;
}): number | undefined {
  const isSameProcess = before?.bornMs === entry.bornMs;
  const known = isSameProcess ? before.coldUntilMs : undefined;
  if (entry.coldMs !== undefined) {
    // An entry is also delivered again when hosts change its marks; the time counts from when it was first received.
    const isSameStatement =
      isSameProcess && before.coldMs === entry.coldMs && before.reportNumber === entry.reportNumber;
    if (isSameStatement || entry.coldMs === 0) return known;
    return Math.max(known ?? -Infinity, nowMs + entry.coldMs);
  }
  const { coldPerS, coldStartMs } = service ?? {};
  if (isSameProcess || isInitial || coldPerS === undefined || coldStartMs === undefined) return known;
  // A server whose entry expired registers again without having started again.
  const isStarted = entry.bornMs === 0 || nowWallMs - entry.bornMs < coldStartMs + MAX_CLOCK_SKEW_MS;
  return isStarted ? nowMs + coldStartMs : undefined;
}
