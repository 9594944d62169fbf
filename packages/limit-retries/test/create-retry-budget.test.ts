import test from 'ava';
import { createRetryBudget } from '@laburnumshift/limit-retries';
import { installClock } from '@laburnumshift/test-utils';

const retry = { ratio: 0.125, minPerSecond: 2, maxAttempts: 3 };
const scope = { service: 's', account: 'a', pool: 'p' };

// Guards against retry storms: without first attempts only the minimum per second is left.
test.serial('the minimum per second bounds retries without first attempts', async (t) => {
  const clock = installClock();
  try {
    const budget = createRetryBudget({ seed: 1 });
    const countTaken = (): number =>
      Array.from({ length: 20 }, () => budget.takeRetry(scope, retry)).filter(Boolean).length;
    t.is(countTaken(), 2);
    await clock.tickAsync(1_000);
    t.is(countTaken(), 2);
    await clock.tickAsync(60_000);
    t.is(countTaken(), 2, 'idle time does not save up a storm');
    for (let i = 0; i < 80; i += 1) budget.recordAttempt(scope, retry);
    t.is(countTaken(), 10);
  } finally {
    clock.uninstall();
  }
});

// Guards against one account or pool using up the retries of the others, and against partial charges.
test.serial('an empty pool budget refuses without charging the service', (t) => {
  const clock = installClock();
  try {
    const budget = createRetryBudget({ seed: 1, sharedMinPerSecond: 1 });
    t.true(budget.takeRetry(scope, retry));
    t.false(budget.takeRetry({ ...scope, account: 'b' }, retry));
    t.true(budget.takeRetry({ ...scope, account: 'c', pool: 'q' }, retry), 'the service kept its token');
  } finally {
    clock.uninstall();
  }
});

// Guards against synchronised retries and unbounded pauses.
test('backoff is spread, bounded and repeatable', (t) => {
  const generatePauses = (seed: number): number[] => {
    const budget = createRetryBudget({ seed, baseMs: 50, maxMs: 400 });
    return Array.from({ length: 200 }, (_, i) => budget.computeBackoff(1 + (i % 8)));
  };
  const pauses = generatePauses(7);
  t.deepEqual(pauses, generatePauses(7));
  t.true(pauses.every((ms, i) => ms >= 0 && ms < Math.min(400, 50 * 2 ** (i % 8))));
  t.true(new Set(pauses).size > 190);
});
