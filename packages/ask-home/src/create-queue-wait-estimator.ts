import { readMonotonicMs } from '@laburnumshift/clock';
import type { QueueWaitEstimator } from './queue-wait-estimator.js';

/** Window over which the placement rate is computed, milliseconds: about the duration of the usual queue. */
const RATE_WINDOW_MS = 1000;
/** Minimum time span for the placement rate, milliseconds, so that the start of a burst does not give an excessive rate. */
const MIN_RATE_SPAN_MS = 100;

interface TimedEvent {
  readonly atMs: number;
  readonly priority: number;
}
interface TimedRetry extends TimedEvent {
  /** Placements before the next retry. */
  readonly work: number;
}

/** Creates an estimator without recorded placements. */
export function createQueueWaitEstimator(): QueueWaitEstimator {
  let placements: TimedEvent[] = [];
  /** Times at which refused callers were told to retry, monotonic milliseconds. */
  let scheduledRetries: TimedRetry[] = [];
  const estimateWaitMs = (priority: number, ahead: number): number => {
    const now = readMonotonicMs();
    const recentPlacements = placements.filter(({ atMs }) => atMs > now - RATE_WINDOW_MS);
    const [first] = recentPlacements;
    if (ahead === 0 || first === undefined) return 0;
    // A call of this priority would also have got the capacity that less urgent calls got.
    const placedCount = recentPlacements.filter((event) => event.priority >= priority).length;
    return (ahead * Math.max(MIN_RATE_SPAN_MS, now - first.atMs)) / placedCount;
  };
  const estimateRetryMs: QueueWaitEstimator['estimateRetryMs'] = (
    priority,
    ahead,
    minRetryMs,
    maxRetryMs,
    work = 1,
  ) => {
    const now = readMonotonicMs();
    const retriesBefore = scheduledRetries.reduce(
      (sum, event) => sum + (event.atMs > now && event.priority <= priority ? event.work : 0),
      0,
    );
    return Math.max(minRetryMs, Math.min(maxRetryMs, estimateWaitMs(priority, ahead + retriesBefore + work)));
  };
  return {
    recordPlacement: (priority) => {
      const now = readMonotonicMs();
      if ((placements[0]?.atMs ?? now) < now - 2 * RATE_WINDOW_MS)
        placements = placements.filter(({ atMs }) => atMs > now - RATE_WINDOW_MS);
      placements.push({ atMs: now, priority });
    },
    estimateWaitMs,
    hasRate: () => placements.some(({ atMs }) => atMs > readMonotonicMs() - RATE_WINDOW_MS),
    scheduleRetry: (priority, ahead, minRetryMs, maxRetryMs, work = 1) => {
      const now = readMonotonicMs();
      scheduledRetries = scheduledRetries.filter(({ atMs }) => atMs > now);
      const retryAfterMs = estimateRetryMs(priority, ahead, minRetryMs, maxRetryMs, work);
      scheduledRetries.push({ atMs: now + retryAfterMs, priority, work });
      return retryAfterMs;
    },
    estimateRetryMs,
  };
}
