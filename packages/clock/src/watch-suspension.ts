import { computeElapsedMs } from './compute-elapsed-ms.js';
import { readMoment } from './read-moment.js';
import { runEvery } from './run-every.js';

/** Pause between two checks, milliseconds. */
const CHECK_PERIOD_MS = 400;
/** A gap longer than this counts as a suspension, milliseconds: in that time other hosts abandon calls and close connections. */
const MIN_GAP_MS = 1000;

/**
 * Calls `onResume` soon after this process was suspended or blocked for more than 1 s. A forward step of the wall clock has the
 * same effect.
 *
 * @param onResume receives the time for which the process did not run, milliseconds
 * @param onError receives errors that `onResume` throws
 * @returns a function that stops the checks
 */
export function watchSuspension(
  onResume: (gapMs: number) => void,
  onError: (error: unknown) => void,
): () => void {
  let last = readMoment();
  return runEvery(
    CHECK_PERIOD_MS,
    () => {
      const gapMs = computeElapsedMs(last) - CHECK_PERIOD_MS;
      last = readMoment();
      if (gapMs > MIN_GAP_MS) onResume(gapMs);
    },
    onError,
  );
}
