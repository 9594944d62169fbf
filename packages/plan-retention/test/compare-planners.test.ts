import test from 'ava';
import { comparePlanners } from '@laburnumshift/plan-retention/simulation';

const MINUTE_MS = 60_000;
const SHORT = { durationMs: 120 * MINUTE_MS, warmUpMs: 60 * MINUTE_MS };

for (const seed of [1, 2, 3]) {
  // Guards against a planner that recomputes more than a baseline, or that saves recomputation by more transfers.
  test(`the expected-value planner recomputes less than both baselines and moves less than keep-all, seed ${String(seed)}`, (t) => {
    const { keepNone, keepAll, expectedValue } = comparePlanners(seed, SHORT);
    t.log(
      [keepNone, keepAll, expectedValue]
        .map(
          ({ planner, recomputedTokenShare, movedBytes }) =>
            `${planner}: ${recomputedTokenShare.toFixed(3)} recomputed, ${String(Math.round(movedBytes / 1024 ** 2))} MiB moved`,
        )
        .join('; '),
    );
    t.is(expectedValue.requests, keepNone.requests);
    t.true(expectedValue.recomputedTokenShare < 0.9 * keepAll.recomputedTokenShare);
    t.true(keepAll.recomputedTokenShare < keepNone.recomputedTokenShare);
    t.true(expectedValue.movedBytes < keepAll.movedBytes);
    t.true(expectedValue.recomputedTokenShare >= expectedValue.newTokenShare);
  });
}

// Guards against a simulation that depends on the clock or on unseeded randomness, so that its results cannot be
// compared.
test('the same seed gives the same results', (t) => {
  const small = { durationMs: 20 * MINUTE_MS, warmUpMs: 0 };
  t.deepEqual(comparePlanners(5, small), comparePlanners(5, small));
});
