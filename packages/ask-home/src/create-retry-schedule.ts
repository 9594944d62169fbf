import { readMonotonicMs } from '@laburnumshift/clock';
import type { RetrySchedule } from './retry-schedule.js';

interface ScheduledRetry {
  readonly service: string;
  readonly priority: number;
  readonly atMs: number;
}

/** Creates an empty schedule. */
export function createRetrySchedule(): RetrySchedule {
  let retries: ScheduledRetry[] = [];
  const estimateRetryMs: RetrySchedule['estimateRetryMs'] = (
    service,
    priority,
    perCallMs,
    minRetryMs,
    maxRetryMs,
  ) => {
    const now = readMonotonicMs();
    const before = retries.filter(
      (retry) => retry.atMs > now && retry.service === service && retry.priority <= priority,
    ).length;
    return Math.max(minRetryMs, Math.min(maxRetryMs, minRetryMs + before * perCallMs));
  };
  return {
    scheduleRetry: (service, priority, perCallMs, minRetryMs, maxRetryMs) => {
      const now = readMonotonicMs();
      retries = retries.filter(({ atMs }) => atMs > now);
      const retryAfterMs = estimateRetryMs(service, priority, perCallMs, minRetryMs, maxRetryMs);
      retries.push({ service, priority, atMs: now + retryAfterMs });
      return retryAfterMs;
    },
    estimateRetryMs,
  };
}
