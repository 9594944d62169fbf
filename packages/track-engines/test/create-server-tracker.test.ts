import { installClock } from '@laburnumshift/test-utils';
import { createServerTracker } from '@laburnumshift/track-engines';
import test from 'ava';

const WORK = { uncachedTokens: 100, totalTokens: 300 };

test('pending tokens are released once at the first event, all other work once at the end of the call', (t) => {
  const serverTracker = createServerTracker();
  const call = serverTracker.beginCall('a', WORK);
  t.like(serverTracker.getState('a'), { inFlight: 1, pendingTokens: 100, heldTokens: 300 });
  call.observeFirstEvent();
  call.observeFirstEvent();
  t.like(serverTracker.getState('a'), { inFlight: 1, pendingTokens: 0, heldTokens: 300 });
  call.finish('served');
  call.finish('cancelled');
  t.like(serverTracker.getState('a'), { inFlight: 0, pendingTokens: 0, heldTokens: 0 });
});

test.serial(
  'silence is measured from the last received byte and only while calls are in flight',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const serverTracker = createServerTracker();
    t.is(serverTracker.getState('a').silentMs, 0);
    const call = serverTracker.beginCall('a', WORK);
    await clock.tickAsync(900);
    t.is(serverTracker.getState('a').silentMs, 900);
    call.observeBytes();
    t.is(serverTracker.getState('a').silentMs, 0);
    call.finish('served');
    await clock.tickAsync(900);
    t.is(serverTracker.getState('a').silentMs, 0);
  },
);

test.serial(
  'the failure share rises with failures and decays over time, so a failing server is tried again',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const serverTracker = createServerTracker();
    for (let count = 0; count < 5; count += 1) serverTracker.beginCall('a', WORK).finish('failed');
    const share = serverTracker.getState('a').failureShare;
    t.true(share > 0.4);
    serverTracker.beginCall('a', WORK).finish('cancelled');
    t.is(serverTracker.getState('a').failureShare, share);
    await clock.tickAsync(4000);
    t.true(serverTracker.getState('a').failureShare < share / 3);
  },
);

test('pieces are found only under their own scope, and clearing the table removes all of them', (t) => {
  const pieces = createServerTracker().getPieceTable('a');
  pieces.addPiece('s1', 'x', 10);
  pieces.addPiece('s1', 'x', 12);
  pieces.addPiece('s2', 'y', 5);
  t.is(pieces.getTokens('s1', 'x'), 12);
  t.is(pieces.getTokens('s2', 'x'), 0);
  t.is(pieces.countTokens(), 17);
  t.deepEqual(
    pieces.listPieces((scope) => scope === 's2'),
    [{ scope: 's2', piece: 'y' }],
  );
  pieces.dropPiece('s1', 'x');
  t.is(pieces.countTokens(), 5);
  pieces.clear();
  t.is(pieces.countTokens(), 0);
});

test.serial(
  'a slowness fades without reports, and a false one stays within bounds, so no server is shunned for good',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const serverTracker = createServerTracker();
    const load = { running: 1, waiting: 0, slots: 6 };
    const getSlowness = (): number => serverTracker.getState('a').slowness;
    serverTracker.observeLoad('a', load);
    t.is(getSlowness(), 1);
    for (let report = 0; report < 10; report += 1) serverTracker.observeLoad('a', { ...load, slowness: 4 });
    t.true(getSlowness() > 3.9 && getSlowness() <= 4);
    await clock.tickAsync(10_000);
    t.true(getSlowness() < 1.01);
    for (const slowness of [1e9, Infinity, NaN, -5, 0]) {
      serverTracker.observeLoad('a', { ...load, slowness });
      t.true(getSlowness() >= 0.25 && getSlowness() <= 20, String(slowness));
    }
  },
);

test.serial(
  'calls that take longer than expected count as more work, queued ones as not begun',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const serverTracker = createServerTracker();
    const call = serverTracker.beginCall('a', { ...WORK, expectedMs: 100 });
    const getWork = (runningShare: number): number => serverTracker.getOutstandingWork('a', runningShare).ms;
    t.is(getWork(1), 100);
    await clock.tickAsync(40);
    t.deepEqual([getWork(1), getWork(0.5)], [60, 80]);
    await clock.tickAsync(360);
    t.is(getWork(1), 200);
    await clock.tickAsync(60_000);
    t.is(getWork(1), 250);
    call.finish('cancelled');
    t.deepEqual(serverTracker.getOutstandingWork('a', 1), { calls: 0, ms: 0 });
  },
);

test('guards against reads for an explanation that change fetch rates, expected pieces or what other hosts may tell', (t) => {
  const serverTracker = createServerTracker();
  const reader = serverTracker.getReader();
  serverTracker.beginCall('a', WORK);
  t.deepEqual(reader.getState('a').heldTokens, serverTracker.getState('a').heldTokens);
  reader.observeFetch('10.0.0.1:80', 500);
  reader.expectPieces('a', 'scope', [{ id: 'piece', tokens: 400 }]);
  t.is(serverTracker.getFetchRate('10.0.0.1:80'), 0);
  t.is(serverTracker.countCachedTokens('a', 'scope', 'piece'), 0);
  // Observations of servers without any state are ignored, and a read must not make state.
  reader.getState('b');
  reader.getOutstandingWork('b', 1);
  reader.countCachedTokens('b', 'scope', 'piece');
  reader.getPieceTable('b');
  serverTracker.addObservations({ results: [['b', 0, 5]], reads: [], fetches: [], runs: [] });
  t.is(serverTracker.getState('b').failureShare, 0);
});
