import type { SuspectClaim, SuspectDecision } from '@laburnumshift/types';
import type { SuspectEntry } from './suspect-entry.js';

/** A holder renews its claim every 3 s; a lost renewal or two must not permit a second run. */
const LEASE_MS = 10_000;
/** Another caller asks again after this time at most, so that it follows soon after the run has ended. */
const BUSY_RETRY_MS = 500;

/** Decides whether a request may run; permits one run at a time of a suspect and renews the claim of the same run. */
export function decideClaim(
  entry: SuspectEntry | undefined,
  convictedUntilMs: number | undefined,
  claim: SuspectClaim,
  nowMs: number,
): SuspectDecision {
  if (convictedUntilMs !== undefined) return { kind: 'convicted', untilMs: convictedUntilMs };
  if (entry === undefined) return { kind: 'clean' };
  const held = entry.claim;
  if (held !== undefined && held.untilMs > nowMs && held.requestId !== claim.requestId) {
    return { kind: 'busy', retryAfterMs: Math.min(BUSY_RETRY_MS, held.untilMs - nowMs) };
  }
  entry.claim = { requestId: claim.requestId, host: claim.host, untilMs: nowMs + LEASE_MS };
  return { kind: 'isolate' };
}
