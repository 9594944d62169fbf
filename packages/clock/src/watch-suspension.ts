import { computeElapsedMs } from './compute-elapsed-ms.js';
import { readMoment } from './read-moment.js';
import { runEvery } from './run-every.js';

const PERIOD_MS = 400;
/** A gap longer than this, milliseconds, is a suspension: other hosts give up calls and close connections in such a time. */
const GAP_MS = 1000;

/**
 * Calls the handler soon after this process did not run for a while, with the length of the gap in milliseconds. A step of the
 * wall clock looks the same.
 *
 * @returns a function that ends the watch
 */
export function watchSuspension(
  onResume: (gapMs: number) => void,
  onError: (error: unknown) => void,
): () => void {
  let last = readMoment();
  return runEvery(
    PERIOD_MS,
    () => {
      const gapMs = computeElapsedMs(last) - PERIOD_MS;
      last = readMoment();
      if (gapMs > GAP_MS) onResume(gapMs);
    },
    onError,
  );
}
