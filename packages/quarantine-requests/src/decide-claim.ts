import type { SuspectClaim, SuspectDecision } from '@laburnumshift/types';
import type { SuspectEntry } from './suspect-entry.js';

/** The holder renews its claim every 3 s; one or two lost renewals must not permit a second run. */
const CLAIM_LEASE_MS = 10_000;
/** Maximum retry delay of another run, so that it starts soon after the current one has ended. */
const BUSY_RETRY_MS = 500;

/**
 * Decides whether a request may run. A suspect gets one claim at a time: the claim is granted or renewed in `entry`, and another
 * request is told to retry. `convictedUntilMs` is wall time, `nowMs` monotonic time, both in milliseconds.
 */
export function decideClaim(
  entry: SuspectEntry | undefined,
  convictedUntilMs: number | undefined,
  claim: SuspectClaim,
  nowMs: number,
): SuspectDecision {
  if (convictedUntilMs !== undefined) return { kind: 'convicted', untilMs: convictedUntilMs };
  if (entry === undefined) return { kind: 'clean' };
  const activeClaim = entry.claim;
  if (activeClaim !== undefined && activeClaim.untilMs > nowMs && activeClaim.requestId !== claim.requestId) {
    return { kind: 'busy', retryAfterMs: Math.min(BUSY_RETRY_MS, activeClaim.untilMs - nowMs) };
  }
  entry.claim = { requestId: claim.requestId, host: claim.host, untilMs: nowMs + CLAIM_LEASE_MS };
  return { kind: 'isolate' };
}
