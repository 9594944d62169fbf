import type { Admission } from './admission.js';
import type { AdmissionInput } from './admission-input.js';

/** Part of the remaining time within which an answer has to begin; the rest is for the answer itself. */
const BEGIN_SHARE = 0.5;
/** Part of the target that a call waits here for room. */
const WAIT_SHARE = 0.4;
/** Share of the memory up to which calls of each priority are sent; engines preempt calls when it runs out. */
const MEMORY_LIMITS = [1.1, 1.02, 0.92] as const;
const LAST_LIMIT = 0.92;
/** Usual time that a call holds memory, milliseconds: output tokens at the pace of a busy engine. */
const HOLD_MS = 3500;
/** Shortest time after which a queue has changed enough to ask again, milliseconds. */
const MIN_RETRY_MS = 300;
/** Callers come back within a third of the time that they have left. */
const MAX_RETRY_SHARE = 0.3;

/**
 * Decides whether a call is sent. Answers overload: when the memory of the best engine is full, further calls only make it
 * preempt others, and when its queue is longer than the call may wait, the call can't be served. Less urgent calls give way
 * first. A refused caller is told when enough calls will have ended.
 */
export function admitCall(input: AdmissionInput): Admission {
  const { expectedMs, memoryShare, remainingMs, targetMs, waitedMs } = input;
  const limit = MEMORY_LIMITS[Math.max(0, Math.floor(input.priority))] ?? LAST_LIMIT;
  const refuse = (reason: string, waitMs: number): Admission => ({
    kind: 'refuse',
    reason,
    retryAfterMs: Math.max(MIN_RETRY_MS, Math.min(waitMs, remainingMs * MAX_RETRY_SHARE)),
  });
  if (expectedMs > remainingMs * BEGIN_SHARE) return refuse('queue is too long', expectedMs - targetMs);
  if (memoryShare <= limit) return { kind: 'admit' };
  if (waitedMs + expectedMs < targetMs * WAIT_SHARE) return { kind: 'wait' };
  return refuse('memory is full', HOLD_MS * (1 - limit / memoryShare) + targetMs * WAIT_SHARE);
}
