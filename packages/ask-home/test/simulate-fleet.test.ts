import test from 'ava';
import { simulateFleet } from './simulate-fleet.js';

const SEEDS = [1, 2, 3];
const KINDS = ['tag', 'answer', 'script'] as const;
/** Target times to first token, milliseconds, and the share of them within which a refusal must come on average. */
const FIRST_TOKEN_TARGETS_MS = { tag: 1500, answer: 800, script: 1000 };
const MAX_REFUSAL_DELAY_SHARE = 1 / 8;
const ENGINE_OUTAGE = { count: 5, fromMs: 3000, toMs: 7000 };

type Scenario = Omit<Parameters<typeof simulateFleet>[0], 'seed'>;

/** Computes by kind, over all seeds, the shares of offered calls that were served and the mean time to refusal. */
const computeResults = (scenario: Scenario) => {
  const runs = SEEDS.map((seed) => simulateFleet({ ...scenario, seed }));
  return Object.fromEntries(
    KINDS.map((kind) => {
      const statsOfRuns = runs.map((run) => run[kind]);
      const addOverRuns = (readValue: (stats: NonNullable<(typeof statsOfRuns)[number]>) => number): number =>
        statsOfRuns.reduce((sum, stats) => sum + (stats === undefined ? 0 : readValue(stats)), 0);
      const offered = addOverRuns((stats) => stats.offered);
      const refusals = addOverRuns((stats) => stats.refusedAfterMs.length);
      const totalRefusalMs = addOverRuns((stats) => stats.refusedAfterMs.reduce((sum, ms) => sum + ms, 0));
      const results = {
        onTime: addOverRuns((stats) => stats.onTime) / offered,
        served: addOverRuns((stats) => stats.served) / offered,
        meanRefusalMs: totalRefusalMs / Math.max(1, refusals),
      };
      return [kind, results];
    }),
  ) as Record<(typeof KINDS)[number], { onTime: number; served: number; meanRefusalMs: number }>;
};

test.serial(
  'at the usual load more than 95 % of the calls of each kind get their first token within the target',
  (t) => {
    const results = computeResults({ by: 'home', load: 1 });
    for (const kind of KINDS) t.true(results[kind].onTime > 0.95, `${kind} ${String(results[kind].onTime)}`);
  },
);

for (const load of [1, 1.5, 2]) {
  for (const lost of [undefined, ENGINE_OUTAGE]) {
    const name = `${String(load)} times the usual load${lost === undefined ? '' : ' and 5 of 16 engines lost'}`;
    test.serial(
      `at ${name} placement by the home host meets the target for at least as many calls as placement by the hosts`,
      (t) => {
        const home = computeResults({ by: 'home', load, ...(lost && { lost }) });
        const hosts = computeResults({ by: 'hosts', load, ...(lost && { lost }) });
        for (const kind of KINDS) {
          t.true(home[kind].onTime >= hosts[kind].onTime, `${kind} ${JSON.stringify([home, hosts])}`);
        }
      },
    );
  }
}

for (const load of [2, 3]) {
  test.serial(
    `at ${String(load)} times the usual load no kind of call starves and refusals come early`,
    (t) => {
      const results = computeResults({ by: 'home', load, lost: ENGINE_OUTAGE });
      const meanServed = KINDS.reduce((sum, kind) => sum + results[kind].served, 0) / KINDS.length;
      t.true(results.tag.served > 0.95, JSON.stringify(results));
      for (const [index, kind] of KINDS.entries()) {
        t.true(results[kind].served > meanServed / 4, JSON.stringify(results));
        t.true(
          results[kind].meanRefusalMs <= FIRST_TOKEN_TARGETS_MS[kind] * MAX_REFUSAL_DELAY_SHARE,
          JSON.stringify(results),
        );
        for (const later of KINDS.slice(index + 1))
          t.true(results[later].served <= results[kind].served + 0.05, JSON.stringify(results));
      }
    },
  );
}
