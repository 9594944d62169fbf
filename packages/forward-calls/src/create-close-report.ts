import { readMonotonicMs } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import type { Metrics } from '@laburnumshift/record-metrics';
import type { CloseReport } from './close-report.js';

/** Minimum time between two log lines, milliseconds: thousands of connections may be closed a second. */
const LOG_INTERVAL_MS = 1000;
const REFUSED = 'call refused';

/** Creates a report that logs at most one line a second, with the counts since the line before. */
export function createCloseReport(metrics: Metrics, logger: Logger): CloseReport {
  let loggedAtMs = -Infinity;
  let counts: Record<string, number> = {};
  const addToCounts = (what: string): void => {
    counts[what] = (counts[what] ?? 0) + 1;
    const now = readMonotonicMs();
    if (now - loggedAtMs < LOG_INTERVAL_MS) return;
    loggedAtMs = now;
    logger.warn('no room for more callers', { counts });
    counts = {};
  };
  return {
    recordClose: (reason) => {
      metrics.addToCounter('closed_connections_total', { reason });
      addToCounts(reason);
    },
    recordRefusal: () => {
      addToCounts(REFUSED);
    },
  };
}
