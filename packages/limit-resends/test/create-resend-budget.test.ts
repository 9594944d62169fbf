import { installClock } from '@laburnumshift/test-utils';
import { createResendBudget } from '@laburnumshift/limit-resends';
import fc from 'fast-check';
import test from 'ava';

const LIMITS = { ratio: 0.2, windowMs: 10_000, slack: 52 };

test.serial('hosts that know nothing of each other keep the limit of the fleet in every window', (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  t.notThrows(() => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 16 }),
        fc.array(fc.record({ host: fc.nat(15), wants: fc.boolean(), pauseMs: fc.nat(20) }), {
          minLength: 400,
          maxLength: 700,
        }),
        (count, steps) => {
          const hosts = Array.from({ length: count }, () => createResendBudget(LIMITS));
          const log: { readonly atMs: number; readonly isResend: boolean }[] = [];
          for (const { host, wants, pauseMs } of steps) {
            clock.tick(pauseMs);
            const budget = hosts[host % count];
            budget?.recordCall('s');
            log.push({ atMs: performance.now(), isResend: false });
            if (wants && budget?.takeResend('s') === true)
              log.push({ atMs: performance.now(), isResend: true });
          }
          return log.every(({ atMs }) => {
            const window = log.filter((entry) => entry.atMs > atMs - LIMITS.windowMs && entry.atMs <= atMs);
            const resends = window.filter(({ isResend }) => isResend).length;
            return resends <= (window.length - resends) * LIMITS.ratio + LIMITS.slack;
          });
        },
      ),
      { seed: 7, numRuns: 40 },
    );
  });
});

test.serial('services have budgets of their own, and old calls earn nothing', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const budget = createResendBudget({ ...LIMITS, slack: 0 });
  for (let count = 0; count < 20; count += 1) budget.recordCall('a');
  t.false(budget.takeResend('b'));
  t.true(budget.takeResend('a'));
  await clock.tickAsync(10_001);
  t.false(budget.takeResend('a'));
});
