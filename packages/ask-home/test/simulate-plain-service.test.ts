import test, { type ExecutionContext } from 'ava';
import { simulatePlainService } from './simulate-plain-service.js';

const SEEDS = [1, 2, 3, 4, 5];
/** Calls per second: four servers at usual speed complete 377, and 306 when one is four times slower. */
const USUAL_PER_S = 300;
const OVERLOAD_PER_S = 340;
type Options = Omit<Parameters<typeof simulatePlainService>[0], 'seed'>;
const BEFORE = { by: 'load', reports: 'none' } as const;
const AFTER = { by: 'cost', reports: 'four' } as const;

const pickQuantile = (values: readonly number[], share: number): number =>
  values.toSorted((a, b) => a - b)[Math.floor(share * (values.length - 1))] ?? 0;

/** Computes the results of a kind of call over all seeds, and logs them. */
const computeResults = (t: ExecutionContext, options: Options) => {
  const runs = SEEDS.map((seed) => simulatePlainService({ ...options, seed }));
  const computeKind = (kind: string) => {
    const stats = runs.flatMap((run) => run[kind] ?? []);
    const offered = stats.reduce((sum, run) => sum + run.offered, 0);
    const waitsMs = stats.flatMap((run) => run.waitsMs);
    return {
      onTime: stats.reduce((sum, run) => sum + run.onTime, 0) / offered,
      served: stats.reduce((sum, run) => sum + run.served, 0) / offered,
      turnedAway: stats.reduce((sum, run) => sum + run.turnedAway, 0),
      refused: stats.reduce((sum, run) => sum + run.refused, 0),
      meanWaitMs: waitsMs.reduce((sum, ms) => sum + ms, 0) / waitsMs.length,
      longWaitMs: pickQuantile(waitsMs, 0.95),
      medianError: pickQuantile(
        stats.flatMap(({ errors }) => errors),
        0.5,
      ),
    };
  };
  const results = { small: computeKind('small'), large: computeKind('large') };
  for (const [kind, figures] of Object.entries(results))
    t.log(
      JSON.stringify(options),
      kind,
      ...Object.entries(figures).map(([name, value]) => `${name} ${value.toPrecision(3)}`),
    );
  return results;
};

test.serial('learned costs do not make calls wait longer while all servers are equally fast', (t) => {
  const before = computeResults(t, { ...BEFORE, callsPerS: USUAL_PER_S });
  const after = computeResults(t, { ...AFTER, callsPerS: USUAL_PER_S });
  for (const kind of ['small', 'large'] as const) {
    t.true(after[kind].meanWaitMs <= before[kind].meanWaitMs * 1.1);
    t.true(after[kind].medianError < 0.3);
  }
});

test.serial(
  'one of four servers that is four times slower does not hold up calls that others could serve',
  (t) => {
    const options = { callsPerS: 250, slowness: 4 };
    const before = computeResults(t, { ...BEFORE, ...options });
    const after = computeResults(t, { ...AFTER, ...options });
    for (const kind of ['small', 'large'] as const) {
      t.true(after[kind].onTime >= before[kind].onTime);
      t.true(after[kind].meanWaitMs <= before[kind].meanWaitMs * 0.75);
      t.true(after[kind].medianError < 0.3);
    }
    const busyOptions = { ...options, callsPerS: USUAL_PER_S };
    const busyBefore = computeResults(t, { ...BEFORE, ...busyOptions });
    const busyAfter = computeResults(t, { ...AFTER, ...busyOptions });
    t.true(busyAfter.small.onTime >= busyBefore.small.onTime);
  },
);

test.serial(
  'under overload few calls are turned away by full servers, and neither small nor large ones starve',
  (t) => {
    const options = { callsPerS: OVERLOAD_PER_S, slowness: 4 };
    const before = computeResults(t, { ...BEFORE, ...options });
    const after = computeResults(t, { ...AFTER, ...options });
    const countTurnedAway = ({ small, large }: typeof before): number => small.turnedAway + large.turnedAway;
    t.true(countTurnedAway(after) < countTurnedAway(before) / 4);
    t.true(after.small.served > before.small.served);
    t.true(after.large.served > 0.9);
  },
);

for (const reports of ['none', 'three'] as const) {
  test.serial(
    `hosts whose servers report ${reports} of the figures serve calls as well as by load alone`,
    (t) => {
      for (const slowness of [1, 4]) {
        const options = { callsPerS: USUAL_PER_S, slowness };
        const before = computeResults(t, { ...BEFORE, reports, ...options });
        const after = computeResults(t, { ...AFTER, reports, ...options });
        for (const kind of ['small', 'large'] as const) {
          t.true(after[kind].onTime >= before[kind].onTime - 0.01);
          t.true(after[kind].served >= before[kind].served - 0.005);
        }
      }
    },
  );
}

test.serial('reports that stop while a server is slow leave calls served as well as by load alone', (t) => {
  const options = { callsPerS: USUAL_PER_S, slowness: 4 };
  const before = computeResults(t, { ...BEFORE, ...options });
  const after = computeResults(t, { ...AFTER, ...options, reportsEndMs: 3000 });
  t.true(after.small.onTime >= before.small.onTime - 0.01);
  t.true(after.large.served >= before.large.served - 0.01);
});

test.serial('a server with false figures harms no more calls than its own absence would', (t) => {
  const options = { callsPerS: 250, slowness: 1 };
  const after = computeResults(t, { ...AFTER, ...options, reports: 'false' });
  for (const kind of ['small', 'large'] as const) t.true(after[kind].served > 0.99);
});
