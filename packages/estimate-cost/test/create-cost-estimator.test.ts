import { createCostEstimator } from '@laburnumshift/estimate-cost';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';

const KIND = { service: 'desk', route: 'r', method: 'POST', bodyBytes: 100 };
const LARGE = { ...KIND, bodyBytes: 100_000 };
const createTiming = (elapsedMs: number, queueMs = 0, slowness = 1) => ({ elapsedMs, queueMs, slowness });

test('a slow or full server does not distort the estimate, and a long queue of unsure length is not learned', (t) => {
  const estimator = createCostEstimator();
  for (let call = 0; call < 4; call += 1) {
    t.is(estimator.estimateCallMs(KIND), undefined);
    estimator.observeCall(KIND, createTiming(50));
  }
  for (let call = 0; call < 40; call += 1) {
    estimator.observeCall(KIND, createTiming(200, 0, 4));
    estimator.observeCall(KIND, createTiming(90, 40));
    t.is(estimator.observeCall(KIND, createTiming(900, 800)), undefined);
  }
  t.is(Math.round(estimator.estimateCallMs(KIND) ?? 0), 50);
});

test('large and small calls of a service are told apart, and unknown kinds are taken for usual ones', (t) => {
  const estimator = createCostEstimator();
  for (let call = 0; call < 20; call += 1) {
    estimator.observeCall(KIND, createTiming(50));
    estimator.observeCall(LARGE, createTiming(250));
  }
  const estimates = [KIND, LARGE, { ...KIND, method: 'GET' }].map(
    (kind) => estimator.estimateCallMs(kind) ?? 0,
  );
  t.deepEqual(estimates.slice(0, 2), [50, 250]);
  t.is(estimates[2], estimator.getServiceMs('desk'));
  t.is(estimator.estimateCallMs({ ...KIND, service: 'other' }), undefined);
});

test('timings that are no times are not learned', (t) => {
  const estimator = createCostEstimator();
  for (const timing of [createTiming(0), createTiming(NaN), createTiming(9, 0, 0), createTiming(Infinity)])
    t.is(estimator.observeCall(KIND, timing), undefined);
});

test.serial(
  'estimates of calls that no longer come expire, and many kinds do not use up memory',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const estimator = createCostEstimator();
    const observe = (route: string): void => {
      for (let call = 0; call < 4; call += 1) estimator.observeCall({ ...KIND, route }, createTiming(50));
    };
    observe('first');
    for (let route = 0; route < 1100; route += 1) {
      estimator.observeCall({ ...KIND, route: String(route) }, createTiming(90));
    }
    t.is(estimator.estimateCallMs({ ...KIND, route: 'first' }), estimator.getServiceMs('desk'));
    await clock.tickAsync(121_000);
    t.is(estimator.getServiceMs('desk'), undefined);
  },
);

const OUTPUT = { route: 'talk', account: 'anna' };

test('estimates of output lose their bias for the same route and account only, once there are enough', (t) => {
  const estimator = createCostEstimator();
  for (let call = 0; call < 400; call += 1) {
    if (call === 10) t.is(estimator.estimateOutput(OUTPUT, 100), 100);
    // The median is as estimated, but a quarter of the outputs is four times as long.
    estimator.observeOutput(OUTPUT, 100, call % 4 === 0 ? 400 : 100);
  }
  const estimate = estimator.estimateOutput(OUTPUT, 100);
  // Time-averaged memory of growing outputs: half of the mean square over the mean, 136 tokens, is 0.7 of the estimate.
  t.true(Math.abs(estimate * 0.7 - 136) < 15, String(estimate));
  t.is(estimator.estimateOutput({ ...OUTPUT, account: 'ben' }, 100), 100);
});

test('events with several tokens or odd estimates do not take the memory estimate far down or up', (t) => {
  const estimator = createCostEstimator();
  for (let call = 0; call < 400; call += 1) {
    estimator.observeOutput(OUTPUT, 100, 10);
    estimator.observeOutput({ ...OUTPUT, account: undefined }, 1, 1e6);
    estimator.observeOutput({ ...OUTPUT, account: 'odd' }, NaN, 10);
  }
  t.is(estimator.estimateOutput(OUTPUT, 100), 75);
  t.is(estimator.estimateOutput({ ...OUTPUT, account: undefined }, 100), 400);
  t.is(estimator.estimateOutput({ ...OUTPUT, account: 'odd' }, 100), 100);
});
