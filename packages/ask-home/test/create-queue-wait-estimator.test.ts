import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import { createQueueWaitEstimator } from '../src/create-queue-wait-estimator.js';

const createFixture = (t: ExecutionContext) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  return { clock, estimator: createQueueWaitEstimator() };
};

test.serial('the wait is estimated from recent placements of the same or a less urgent priority', (t) => {
  const { clock, estimator } = createFixture(t);
  t.is(estimator.estimateWaitMs(1, 0), 0);
  t.is(estimator.estimateWaitMs(1, 1), 0);
  for (let index = 0; index < 20; index += 1) estimator.recordPlacement(index % 2);
  t.is(estimator.estimateWaitMs(0, 4), 20);
  clock.tick(900);
  t.is(estimator.estimateWaitMs(0, 4), 180);
  t.is(estimator.estimateWaitMs(1, 4), 360);
  t.is(estimator.estimateWaitMs(2, 4), Infinity);
  clock.tick(100);
  t.is(estimator.estimateWaitMs(0, 4), 0);
});

test.serial(
  'refused callers get different, increasing retry times, so they do not return all at once',
  (t) => {
    const { clock, estimator } = createFixture(t);
    for (let index = 0; index < 10; index += 1) estimator.recordPlacement(1);
    clock.tick(900);
    const times = [0, 1, 2, 3].map(() => estimator.scheduleRetry(1, 3, 300, 5000));
    t.deepEqual(times, [360, 450, 540, 630]);
    t.is(estimator.scheduleRetry(0, 0, 300, 5000), 300);
    t.is(estimator.scheduleRetry(1, 100, 300, 5000), 5000);
    clock.tick(90);
    estimator.recordPlacement(1);
    // All retries but the one at 5000 ms are due within a second, and 11 calls were placed in 990 ms.
    t.is(estimator.scheduleRetry(1, 4, 300, 5000), 990);
  },
);
