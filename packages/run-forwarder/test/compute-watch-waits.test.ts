import test from 'ava';
import { computeWatchWaits } from '../src/compute-watch-waits.js';

/** Time from the end of a wait until a connection without traffic is closed, in milliseconds. */
const DETECTION_MS = 600;

test('a watch on a connection without traffic does not delay a change beyond its bound', (t) => {
  for (const boundMs of [2000, 3000, 6000]) {
    const waits = computeWatchWaits({
      configApplyMs: boundMs,
      drainMs: boundMs,
      evacuateMs: boundMs,
      versionMs: 4 * boundMs,
    });
    t.true(waits.evacuations + DETECTION_MS < boundMs);
    t.true(waits.maxBatchDelay + waits.backends + DETECTION_MS <= boundMs);
    t.true(waits.config + DETECTION_MS < boundMs);
    t.true(waits.weights + DETECTION_MS < (4 * boundMs) / 3);
  }
});
