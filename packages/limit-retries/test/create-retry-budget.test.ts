import test from 'ava';
import { createRetryBudget } from '@laburnumshift/limit-retries';
import { installClock } from '@laburnumshift/test-utils';

const retry = { ratio: 0.125, minPerSecond: 2, maxAttempts: 3 };
const scope = { service: 's', account: 'a', pool: 'p' };

// Guards against retry storms: without first attempts, only the minimum per second may be used.
test.serial('retries without first attempts do not exceed the minimum per second', async (t) => {
  const clock = installClock();
  try {
    const budget = createRetryBudget({ seed: 1 });
    const countTaken = (): number =>
      Array.from({ length: 20 }, () => budget.takeRetry(scope, retry)).filter(Boolean).length;
    t.is(countTaken(), 2);
    await clock.tickAsync(1_000);
    t.is(countTaken(), 2);
    await clock.tickAsync(60_000);
    t.is(countTaken(), 2, 'idle time does not allow a larger burst');
    for (let i = 0; i < 80; i += 1) budget.recordAttempt(scope, retry);
    t.is(countTaken(), 10);
  } finally {
    clock.uninstall();
  }
});

// Guards against one account or pool using up the retries of others, and against a refused retry being charged to some budgets.
test.serial('a retry refused by an empty pool budget is not charged to its service', (t) => {
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

// Guards against synchronised retries and unbounded delays. Equal seeds must give equal delays.
test('backoff delays are neither synchronised nor unbounded, and equal seeds give equal delays', (t) => {
  const generateDelays = (seed: number): number[] => {
    const budget = createRetryBudget({ seed, baseDelayMs: 50, maxMs: 400 });
    return Array.from({ length: 200 }, (_, i) => budget.computeBackoff(1 + (i % 8)));
  };
  const delays = generateDelays(7);
  t.deepEqual(delays, generateDelays(7));
  t.true(delays.every((ms, i) => ms >= 0 && ms < Math.min(400, 50 * 2 ** (i % 8))));
  t.true(new Set(delays).size > 190);
});
