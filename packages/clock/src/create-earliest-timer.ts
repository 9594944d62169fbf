import type { EarliestTimer } from './earliest-timer.js';
import { readMonotonicMs } from './read-monotonic-ms.js';
import { startTimer } from './start-timer.js';

/** Creates a timer for one pending run; a request for an earlier one replaces it, a later one has no effect. */
export function createEarliestTimer(run: () => void): EarliestTimer {
  let stopTimer = (): void => undefined;
  let dueMs = Infinity;
  let isClosed = false;
  return {
    schedule: (delayMs) => {
      const requestedMs = readMonotonicMs() + delayMs;
      if (isClosed || dueMs <= requestedMs) return;
      stopTimer();
      dueMs = requestedMs;
      stopTimer = startTimer(delayMs, () => {
        dueMs = Infinity;
        run();
      });
    },
    close: () => {
      isClosed = true;
      stopTimer();
    },
  };
}
