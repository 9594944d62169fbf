import type { Admission } from './admission.js';
import type { AdmissionInput } from './admission-input.js';

/** Part of the remaining time within which an answer has to begin; the rest is for the answer itself. */
const BEGIN_SHARE = 0.6;
/** Shortest time after which a queue has changed enough to ask again, milliseconds. */
const MIN_RETRY_MS = 200;

/**
 * Refuses a call that can't be served in its time, as soon as that is known. Answers overload: the queue of the best server
 * is longer than the call may wait. The caller is told when the queue will have come down to the target.
 */
export function admitCall({ expectedMs, remainingMs, targetMs }: AdmissionInput): Admission {
  if (expectedMs <= remainingMs * BEGIN_SHARE) return { isAdmitted: true };
  return { isAdmitted: false, retryAfterMs: Math.max(MIN_RETRY_MS, expectedMs - targetMs) };
}
