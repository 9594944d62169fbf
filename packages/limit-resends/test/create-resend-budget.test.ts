import { installClock } from '@laburnumshift/test-utils';
import { computeHomeShare, computeHostShare, createResendBudget } from '@laburnumshift/limit-resends';
import fc from 'fast-check';
import test, { type ExecutionContext } from 'ava';

const LIMITS = { ratio: 0.2, windowMs: 10_000, slack: 52 };

/** Pauses the clock for a test. */
const startClock = (t: ExecutionContext): ReturnType<typeof installClock> => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  return clock;
};

test.serial('hosts keep the limit of the fleet in every window without exchanging counts', (t) => {
  const clock = startClock(t);
  t.notThrows(() => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 16 }),
        fc.array(fc.record({ host: fc.nat(15), wantsResend: fc.boolean(), pauseMs: fc.nat(20) }), {
          minLength: 400,
          maxLength: 700,
        }),
        (count, steps) => {
          const hosts = Array.from({ length: count }, () =>
            createResendBudget(LIMITS, () => computeHostShare(count, false)),
          );
          clock.tick(LIMITS.windowMs);
          const log: { readonly atMs: number; readonly isResend: boolean }[] = [];
          for (const { host, wantsResend, pauseMs } of steps) {
            clock.tick(pauseMs);
            const budget = hosts[host % count];
            budget?.recordCall('s');
            log.push({ atMs: performance.now(), isResend: false });
            if (wantsResend && budget?.takeResend('s') === true)
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

test.serial('guards against resends of two windows that fall into one window of the platform', async (t) => {
  const clock = startClock(t);
  const budget = createResendBudget(LIMITS, () => computeHostShare(1, false));
  const takeAll = (): number => {
    let taken = 0;
    while (budget.takeResend('s')) taken += 1;
    return taken;
  };
  await clock.tickAsync(20_950);
  const first = takeAll();
  t.true(first > 0);
  await clock.tickAsync(LIMITS.windowMs - 900);
  t.true(first + takeAll() <= LIMITS.slack);
});

test.serial(
  'a restarted host has no slack in its first window, and one that starts with the whole fleet has',
  (t) => {
    const clock = startClock(t);
    const restarted = createResendBudget(LIMITS, () => computeHostShare(1, false));
    t.false(restarted.takeResend('s'));
    t.true(createResendBudget(LIMITS, () => computeHostShare(1, false), true).takeResend('s'));
    for (let count = 0; count < 20; count += 1) restarted.recordCall('s');
    t.true(restarted.takeResend('s'));
    clock.tick(LIMITS.windowMs);
    t.true(restarted.takeResend('s'));
  },
);

test.serial('budgets are separate per service, and calls before the window do not count', async (t) => {
  const clock = startClock(t);
  const budget = createResendBudget({ ...LIMITS, slack: 0 }, () => computeHostShare(1, false));
  for (let count = 0; count < 20; count += 1) budget.recordCall('a');
  t.false(budget.takeResend('b'));
  t.true(budget.takeResend('a'));
  await clock.tickAsync(10_001);
  t.false(budget.takeResend('a'));
});

/** Records calls with each budget, then takes resends from it until it is used up. Returns the resends taken from all budgets. */
const takeAllResends = (
  budgets: readonly ReturnType<typeof createResendBudget>[],
  callsPerBudget: number,
): number => {
  let taken = 0;
  for (const budget of budgets) {
    for (let count = 0; count < callsPerBudget; count += 1) budget.recordCall('s');
    while (budget.takeResend('s')) taken += 1;
  }
  return taken;
};

for (const count of [1, 6, 81, 195, 470]) {
  for (const callsPerBudget of [0, 25]) {
    const limit = count * callsPerBudget * 0.2 + 430;
    const limits = { ...LIMITS, slack: 430 };
    const name = `${String(count)} hosts with ${String(callsPerBudget)} calls each`;

    test.serial(
      `${name} keep the limit of the fleet when all engines fail, whether or not they know the number of hosts`,
      (t) => {
        const clock = startClock(t);
        const createHosts = (known: number | undefined, hasHomes: boolean) =>
          Array.from({ length: count }, () =>
            createResendBudget(limits, () => computeHostShare(known, hasHomes)),
          );
        const unknowing = createHosts(undefined, false);
        const knowing = createHosts(count, false);
        const besideHomes = createHosts(count, true);
        const domains = Math.min(5, count);
        // While a home host is replaced, its domain has two within one window, and each of them counts all calls there.
        const homes = Array.from({ length: 2 * domains }, () =>
          createResendBudget(limits, () => computeHomeShare(count, count / domains)),
        );
        clock.tick(LIMITS.windowMs);
        t.true(takeAllResends(unknowing, callsPerBudget) <= limit);
        t.true(takeAllResends(knowing, callsPerBudget) <= limit);
        const takenByHosts = takeAllResends(besideHomes, callsPerBudget);
        const takenByHomes = takeAllResends(homes, (callsPerBudget * count) / domains);
        t.true(
          takenByHosts + takenByHomes <= limit,
          `${String(takenByHosts)} + ${String(takenByHomes)} > ${String(limit)}`,
        );
      },
    );
  }
}

test.serial('a home host may use for one host the resends that the other hosts leave unused', (t) => {
  const clock = startClock(t);
  const home = createResendBudget({ ...LIMITS, slack: 430 }, () => computeHomeShare(195, 39));
  clock.tick(LIMITS.windowMs);
  for (let count = 0; count < 39 * 25; count += 1) home.recordCall('s');
  let taken = 0;
  while (home.takeResend('s')) taken += 1;
  t.true(taken > 60, String(taken));
});
