import { installClock } from '@laburnumshift/test-utils';
import { createServerTracker } from '@laburnumshift/track-engines';
import test, { type ExecutionContext } from 'ava';

/** Tokens that an idle link carries per millisecond. */
const FETCH_PER_MS = 400;
const TOKENS = 8000;
const createFixture = (t: ExecutionContext) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const serverTracker = createServerTracker();
  const observe = (delays: readonly number[], tokens = TOKENS): void => {
    for (const excessMs of delays) serverTracker.observeFetchDelay({ source: 's', tokens }, excessMs);
  };
  return {
    clock,
    serverTracker,
    observe,
    getSlowdown: () => serverTracker.getFetchSlowdown('s', FETCH_PER_MS),
  };
};

test.serial('a source with nearly all fetches late is rated as slow', (t) => {
  const { observe, getSlowdown } = createFixture(t);
  t.is(getSlowdown(), 1);
  observe([200, 210]);
  t.is(getSlowdown(), 1, 'two late answers may be caused by one engine');
  observe([190, 5, 205]);
  t.is(getSlowdown(), 10.5);
});

test.serial('late answers of one slow engine do not make a source count as slow', (t) => {
  const { observe, getSlowdown } = createFixture(t);
  observe([0, 900, 0, 0, 1500, 0, 0]);
  t.is(getSlowdown(), 1);
});

test.serial('early answers count as on time, and small fetches are ignored', (t) => {
  const { observe, getSlowdown } = createFixture(t);
  observe([900, 900, 900, 900], 100);
  t.is(getSlowdown(), 1);
  observe([-50, -50, -50]);
  t.is(getSlowdown(), 1);
});

test.serial('a source is no longer rated as slow once its delays have expired', async (t) => {
  const { clock, observe, getSlowdown } = createFixture(t);
  observe([200, 200, 200]);
  t.true(getSlowdown() > 6);
  await clock.tickAsync(4001);
  t.is(getSlowdown(), 1);
});

test.serial(
  'a home host rates sources by the fetch delays that its hosts report, each reported once',
  (t) => {
    const { serverTracker, observe } = createFixture(t);
    const homeServerTracker = createServerTracker();
    observe([200, 200, 200]);
    homeServerTracker.addObservations(serverTracker.drainObservations());
    t.is(homeServerTracker.getFetchSlowdown('s', FETCH_PER_MS), 11);
    homeServerTracker.addObservations(serverTracker.drainObservations());
    t.is(serverTracker.drainObservations().fetches.length, 0);
  },
);

test.serial('a delay common to all sources does not make a source count as slow', (t) => {
  const { serverTracker, observe, getSlowdown } = createFixture(t);
  observe([60, 70, 90]);
  t.is(getSlowdown(), 1, 'queues of engines alone cause delays below 100 ms');
  for (const source of ['a', 'b', 'c', 'd'])
    for (const excessMs of [280, 300, 310])
      serverTracker.observeFetchDelay({ source, tokens: TOKENS }, excessMs);
  observe([320, 350, 340, 380]);
  t.is(getSlowdown(), 1);
  observe([700, 720, 710, 705, 700, 730, 700]);
  t.true(getSlowdown() > 15);
});

test.serial('slow sources are rated as slow even when most sources are slow', (t) => {
  const { serverTracker, observe, getSlowdown } = createFixture(t);
  for (const source of ['a', 'b', 'c'])
    for (const excessMs of [500, 500, 500])
      serverTracker.observeFetchDelay({ source, tokens: TOKENS }, excessMs);
  for (const excessMs of [20, 20, 20])
    serverTracker.observeFetchDelay({ source: 'quick', tokens: TOKENS }, excessMs);
  for (const excessMs of [15, 25, 20])
    serverTracker.observeFetchDelay({ source: 'other', tokens: TOKENS }, excessMs);
  observe([500, 520, 510]);
  t.true(getSlowdown() > 15);
});

test.serial(
  'long queues at engines, which delay half of the answers, do not make a source count as slow',
  (t) => {
    const { observe, getSlowdown } = createFixture(t);
    observe([0, 400, 20, 600, 900, 350, 10, 700, 30]);
    t.is(getSlowdown(), 1);
  },
);
