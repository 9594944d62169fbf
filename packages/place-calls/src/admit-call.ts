import type { Admission } from './admission.js';
import type { AdmissionInput } from './admission-input.js';
import { RETRY_BOUNDS } from './retry-bounds.js';

/** Share of the remaining time within which an answer has to start; the rest is for producing the answer. */
const START_TIME_SHARE = 0.5;
/** Limits by priority, the most urgent first; the last entry applies to all lower priorities. */
const LIMITS = [
  { memoryShare: 1.0, queueShare: 0.8, waitShare: 0.8 },
  { memoryShare: 0.9, queueShare: 0.6, waitShare: 0.8 },
  { memoryShare: 0.75, queueShare: 0.2, waitShare: 0.8 },
] as const;
/** Time for which a call usually holds memory, milliseconds: its output tokens at the decode rate of a busy engine. */
const MEMORY_HOLD_MS = 3500;

/**
 * Decides whether a call is sent to the best engine, waits or is refused under overload. When that engine's memory is full, further
 * calls only make it preempt others. When its queue is long, less urgent prompts delay the urgent ones behind them. When the call
 * cannot start within its share of the remaining time, it cannot be served. The limits are lower for less urgent calls, so these
 * wait or are refused first. A refusal states the time until enough calls are expected to have ended.
 */
export function admitCall(input: AdmissionInput): Admission {
  const { expectedMs, queueMs, memoryShare, remainingMs, targetMs, waitedMs } = input;
  const priority = Math.max(0, Math.floor(input.priority));
  const limit = LIMITS[Math.min(priority, LIMITS.length - 1)] ?? LIMITS[2];
  const refuse = (reason: string, waitMs: number): Admission => ({
    kind: 'refuse',
    reason,
    retryAfterMs: Math.max(
      RETRY_BOUNDS.minMs,
      Math.min(waitMs, remainingMs * RETRY_BOUNDS.maxRemainingShare),
    ),
  });
  if (expectedMs > remainingMs * START_TIME_SHARE) return refuse('queue is too long', expectedMs - targetMs);
  const isMemoryFull = memoryShare > limit.memoryShare;
  const isQueueLong = queueMs > targetMs * limit.queueShare;
  if (!isMemoryFull && !isQueueLong) return { kind: 'admit' };
  if (waitedMs + expectedMs < targetMs * limit.waitShare) return { kind: 'wait' };
  return isMemoryFull
    ? refuse(
        'memory is full',
        MEMORY_HOLD_MS * (1 - limit.memoryShare / memoryShare) + targetMs * limit.waitShare,
      )
    : refuse('queue is long', queueMs);
}
