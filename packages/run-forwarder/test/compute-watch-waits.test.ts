import test from 'ava';
import { computeWatchWaits } from '../src/compute-watch-waits.js';

/** Time after a wait until a silent connection is given up, milliseconds. */
const SLACK_MS = 600;

test('a watch on a silent connection is given up inside the bound it serves', (t) => {
  for (const boundMs of [2000, 3000, 6000]) {
    const waits = computeWatchWaits({ configApplyMs: boundMs, drainMs: boundMs, versionMs: 4 * boundMs });
    t.true(waits.maxGather + waits.backends + SLACK_MS <= boundMs);
    t.true(waits.config + SLACK_MS < boundMs);
    t.true(waits.weights + SLACK_MS < (4 * boundMs) / 3);
  }
});
