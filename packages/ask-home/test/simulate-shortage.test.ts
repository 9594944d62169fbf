import test, { type ExecutionContext } from 'ava';
import { simulateShortage, type ShortageStats } from './simulate-shortage.js';

const KINDS = ['large', 'small', 'short'] as const;
const CASES = [
  { load: 1.5, maxRefusedAgain: 0.5 },
  { load: 2, maxRefusedAgain: 1.3 },
];
const SEED = 1;
/** Time of the failure in the middle of the simulated load, milliseconds. */
const FAILURE_MS = 7000;

/** Runs a simulation, logs its figures, and returns the share of the calls offered that `name` counts, by kind, or kind and account. */
const createReport = (t: ExecutionContext, options: Omit<Parameters<typeof simulateShortage>[0], 'seed'>) => {
  const { stats, preemptions } = simulateShortage({ ...options, seed: SEED });
  const getShare = (key: string, name: keyof ShortageStats): number =>
    (stats[key]?.[name] ?? 0) / Math.max(1, stats[key]?.offered ?? 0);
  t.log(JSON.stringify(options), `preempted ${String(preemptions)}`);
  for (const key of Object.keys(stats).sort()) {
    const shares = (['onTime', 'served', 'refused', 'refusedAgain'] as const).map(
      (name) => `${name} ${getShare(key, name).toFixed(3)}`,
    );
    t.log(key, String(stats[key]?.offered), ...shares);
  }
  return { getShare, preemptions };
};

for (const { load, maxRefusedAgain } of CASES) {
  test.serial(
    `at ${String(load)} times the load that fits, large urgent calls are not served worse than small less urgent ones`,
    (t) => {
      const { getShare, preemptions } = createReport(t, { load });
      t.true(getShare('large', 'onTime') > getShare('small', 'onTime'));
      t.true(getShare('large', 'onTime') > 0.4);
      t.true(getShare('large', 'refusedAgain') < maxRefusedAgain);
      t.true(preemptions < 40);
      for (const kind of KINDS) t.true(getShare(kind, 'served') > 0.06, kind);
      // One account makes half of the calls, so its excess is what does not fit.
      for (const account of ['b', 'c', 'd', 'e'])
        t.true(getShare(`large ${account}`, 'onTime') > getShare('large half', 'onTime') + 0.1, account);
    },
  );
}

test.serial('a home that ends between promise and return does not leave its callers unserved', (t) => {
  const { getShare } = createReport(t, { load: 1.5, homeEndsMs: FAILURE_MS });
  t.true(getShare('large', 'served') > 0.98);
  t.true(getShare('large', 'onTime') > 0.5);
  t.true(getShare('large', 'refusedAgain') < 0.5);
});

test.serial('load reports that stop do not make engines preempt runs or urgent calls wait for ever', (t) => {
  const { getShare, preemptions } = createReport(t, { load: 1.5, reportsStopMs: FAILURE_MS });
  t.true(getShare('large', 'served') > 0.98);
  t.true(getShare('large', 'onTime') > 0.48);
  t.true(preemptions < 40);
});
