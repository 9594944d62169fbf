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
  return {
    scheduleRetry: (service, priority, perCallMs, minRetryMs, maxRetryMs) => {
      const now = readMonotonicMs();
      retries = retries.filter(({ atMs }) => atMs > now);
      const before = retries.filter(
        (retry) => retry.service === service && retry.priority <= priority,
      ).length;
      const retryAfterMs = Math.max(minRetryMs, Math.min(maxRetryMs, minRetryMs + before * perCallMs));
      retries.push({ service, priority, atMs: now + retryAfterMs });
      return retryAfterMs;
    },
  };
}
