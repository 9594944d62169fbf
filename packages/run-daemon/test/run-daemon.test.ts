import { createLogger } from '@laburnumshift/logger';
import {
  runDaemon,
  type DaemonSignal,
  type HeldSignals,
  type RunningDaemon,
} from '@laburnumshift/run-daemon';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';

/** Signals that a test sends, in place of those of the process. */
const createFakeSignals = () => {
  let handle: (signal: DaemonSignal) => void = () => undefined;
  const signals: HeldSignals = {
    setHandler: (handler) => {
      handle = handler;
    },
    release: () => undefined,
  };
  return {
    signals,
    send: (signal: DaemonSignal) => {
      handle(signal);
    },
  };
};

/** A daemon whose start and stop end when the test says so. */
const startDaemon = () => {
  const { signals, send } = createFakeSignals();
  const counts = { starts: 0, stops: 0, ends: 0 };
  let finishStart: (running: RunningDaemon) => void = () => undefined;
  let failStart: (error: Error) => void = () => undefined;
  let finishStop: () => void = () => undefined;
  const running: RunningDaemon = {
    stop: () => {
      counts.stops += 1;
      return new Promise((resolve) => {
        finishStop = resolve;
      });
    },
  };
  const whenEnded = runDaemon({
    signals,
    logger: createLogger('test'),
    start: () => {
      counts.starts += 1;
      return new Promise((resolve, reject) => {
        finishStart = resolve;
        failStart = reject;
      });
    },
  }).finally(() => {
    counts.ends += 1;
  });
  const runTurn = () => new Promise((resolve) => setImmediate(resolve));
  return {
    counts,
    whenEnded,
    runTurn,
    send,
    finishStart: async () => {
      finishStart(running);
      await runTurn();
    },
    failStart: (error: Error) => {
      failStart(error);
    },
    finishStop: () => {
      finishStop();
    },
  };
};

for (const series of [
  ['SIGTERM', 'SIGTERM'],
  ['SIGINT', 'SIGTERM', 'SIGHUP', 'SIGINT'],
  ['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGTERM'],
] as const)
  test(`guards against a stop that ${series.join(', ')} begins twice or cuts short`, async (t) => {
    const daemon = startDaemon();
    await daemon.finishStart();
    for (const signal of series) {
      daemon.send(signal);
      await daemon.runTurn();
    }
    t.deepEqual(daemon.counts, { starts: 1, stops: 1, ends: 0 });
    daemon.finishStop();
    await daemon.whenEnded;
  });

test('guards against a start that a stop signal leaves behind with accepted calls', async (t) => {
  const daemon = startDaemon();
  daemon.send('SIGTERM');
  daemon.send('SIGTERM');
  await daemon.runTurn();
  t.deepEqual(daemon.counts, { starts: 1, stops: 0, ends: 0 });
  await daemon.finishStart();
  t.deepEqual(daemon.counts, { starts: 1, stops: 1, ends: 0 });
  daemon.finishStop();
  await daemon.whenEnded;
});

test('guards against a failure that is reported for a start that a stop signal ended', async (t) => {
  const daemon = startDaemon();
  daemon.send('SIGINT');
  daemon.failStart(new Error('aborted'));
  await t.notThrowsAsync(daemon.whenEnded);
});

test('guards against a failed start that counts as a stop', async (t) => {
  const daemon = startDaemon();
  daemon.send('SIGHUP');
  daemon.failStart(new Error('in use'));
  await t.throwsAsync(daemon.whenEnded, { message: 'in use' });
});

for (const trouble of ['a stop signal', 'an error that no handler caught'] as const)
  test.serial(`guards against a start that never ends after ${trouble}`, async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const { signals, send } = createFakeSignals();
    const handlers = process.listeners('unhandledRejection').length;
    const ended = runDaemon({
      signals,
      logger: createLogger('test'),
      start: () => new Promise(() => undefined),
    }).then(
      () => 'stopped',
      () => 'failed',
    );
    const [listener] = process.listeners('unhandledRejection').slice(handlers);
    if (trouble === 'a stop signal') send('SIGTERM');
    else listener?.(new Error('injected fault'), Promise.resolve());
    await clock.tickAsync(10_000);
    t.is(await ended, trouble === 'a stop signal' ? 'stopped' : 'failed');
  });

test('guards against a daemon that starts after a stop signal', async (t) => {
  let starts = 0;
  await runDaemon({
    signals: {
      setHandler: (handler) => {
        handler('SIGTERM');
      },
      release: () => undefined,
    },
    logger: createLogger('test'),
    start: () => {
      starts += 1;
      return Promise.reject(new Error('not to be started'));
    },
  });
  t.is(starts, 0);
});

test('guards against a daemon that stays although it has stopped for another reason', async (t) => {
  let stops = 0;
  const stop = (): Promise<void> => {
    stops += 1;
    return Promise.resolve();
  };
  await runDaemon({
    signals: createFakeSignals().signals,
    logger: createLogger('test'),
    start: () => Promise.resolve({ stop, stopped: Promise.resolve() }),
  });
  t.is(stops, 1);
});
