import { createSharedInterval } from '@laburnumshift/clock';
import type { BackendEntry } from '@laburnumshift/forward-types';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import { watchProgress } from '../src/watch-progress.js';

/** Returns when a call is abandoned whose server answers and lists no call at all, milliseconds after it was sent. */
const findAbandonedMs = async (t: ExecutionContext, hasFetch: boolean): Promise<number | undefined> => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const startedMs = performance.now();
  let abandonedMs: number | undefined;
  const watch = watchProgress(
    {
      startStallChecks: createSharedInterval(250),
      probeServer: () => Promise.resolve({ kind: 'alive', waiting: 0, running: 0, runs: new Map() }),
    },
    {
      callId: 'c',
      server: {} as BackendEntry,
      canRetry: () => true,
      isEngine: true,
      bodyBytes: 0,
      hasFetch,
      expectedMs: 0,
      onStalled: () => {
        abandonedMs ??= performance.now() - startedMs;
      },
    },
  );
  await clock.tickAsync(8000);
  watch.stop();
  return abandonedMs;
};

test.serial('a call is not taken for lost while its engine may fetch cached pieces for it', async (t) => {
  const abandonedMs = await findAbandonedMs(t, true);
  t.true(abandonedMs !== undefined && abandonedMs > 3000 && abandonedMs < 5500, String(abandonedMs));
});

test.serial('a call without a fetch that its server lost does not wait longer', async (t) => {
  const abandonedMs = await findAbandonedMs(t, false);
  t.true(abandonedMs !== undefined && abandonedMs < 2000, String(abandonedMs));
});
