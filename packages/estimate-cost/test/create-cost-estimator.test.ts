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
