import test from 'ava';
import { simulateHosts, type Arrival, type FleetPlan } from './simulate-hosts.js';

/** The platform's rule: the window, the factor and number of calls allowed beyond the limit, and when it begins to count. */
const WINDOW_MS = 4000;
const RULE_FACTOR = 1.5;
const RULE_EXTRA_CALLS = 5;
const RULE_FROM_MS = 3000;
/** Time for which a host is excused after a fault of its own, milliseconds. */
const EXCUSED_MS = 3000;
const DURATION_MS = 20_000;
const SEEDS = [1, 2, 3, 4, 5];

const countMost = (arrivals: readonly Arrival[], fromMs: number): number => {
  const counted = arrivals.filter(({ ms }) => ms >= fromMs);
  return Math.max(
    0,
    ...counted.map((first) => counted.filter(({ ms }) => ms >= first.ms && ms < first.ms + WINDOW_MS).length),
  );
};
const listFaults = ({ frozen = [], cutOff = [], restarted = [], startedLate = [] }: FleetPlan) => [
  ...[...frozen, ...cutOff],
  ...[...restarted, ...startedLate].map(({ host, atMs }) => ({ host, fromMs: atMs, toMs: atMs })),
];
const isExcused = (plan: FleetPlan, { host, ms }: Arrival): boolean =>
  listFaults(plan).some((fault) => fault.host === host && ms >= fault.fromMs && ms < fault.toMs + EXCUSED_MS);

const buildEvenRates = (hosts: number, callsPerS: number): number[] => Array<number>(hosts).fill(callsPerS);
const UNbuildEvenRates = [30, 10, 3, 1, 1, 0.2, 0, 0];
const FLEETS: Readonly<Record<string, FleetPlan & { readonly limit: number }>> = {
  'even hosts': { limit: 5, callsPerS: buildEvenRates(8, 10), getLimit: () => 5, durationMs: DURATION_MS },
  'hosts with very different numbers of calls': {
    limit: 5,
    callsPerS: UNbuildEvenRates,
    getLimit: () => 5,
    durationMs: DURATION_MS,
  },
  'a limit below one call a second': {
    limit: 0.5,
    callsPerS: buildEvenRates(16, 5),
    getLimit: () => 0.5,
    durationMs: 3 * DURATION_MS,
  },
  'a limit of zero': {
    limit: 0,
    callsPerS: buildEvenRates(8, 5),
    getLimit: () => 0,
    durationMs: DURATION_MS,
  },
  'a single host': { limit: 2, callsPerS: [30], getLimit: () => 2, durationMs: DURATION_MS },
  'a high limit': {
    limit: 60,
    callsPerS: buildEvenRates(8, 20),
    getLimit: () => 60,
    durationMs: DURATION_MS,
  },
  'a frozen host': {
    limit: 4,
    callsPerS: buildEvenRates(8, 10),
    getLimit: () => 4,
    durationMs: DURATION_MS,
    frozen: [{ host: 0, fromMs: 6000, toMs: 9000 }],
  },
  'hosts that are cut off from the others': {
    limit: 4,
    callsPerS: buildEvenRates(8, 10),
    getLimit: () => 4,
    durationMs: DURATION_MS,
    cutOff: [0, 1, 2].map((host) => ({ host, fromMs: 6000, toMs: 11_000 })),
  },
  'hosts that restart one after the other': {
    limit: 4,
    callsPerS: buildEvenRates(8, 10),
    getLimit: () => 4,
    durationMs: DURATION_MS,
    restarted: [0, 1, 2, 3, 4, 5, 6, 7].map((host) => ({ host, atMs: 5000 + host * 1000 })),
  },
  'hosts that start late': {
    limit: 4,
    callsPerS: buildEvenRates(8, 10),
    getLimit: () => 4,
    durationMs: DURATION_MS,
    startedLate: [4, 5, 6, 7].map((host) => ({ host, atMs: 8000 })),
  },
};
for (const [name, plan] of Object.entries(FLEETS)) {
  test.serial(`guards against more calls to a server than its limit allows: ${name}`, async (t) => {
    for (const seed of SEEDS) {
      const arrivals = await simulateHosts(plan, seed);
      const counted = arrivals.filter((arrival) => !isExcused(plan, arrival));
      const most = countMost(counted, RULE_FROM_MS);
      const allowed = (plan.limit * WINDOW_MS * RULE_FACTOR) / 1000 + RULE_EXTRA_CALLS;
      t.true(most <= allowed, `seed ${String(seed)}: ${String(most)} calls, allowed ${String(allowed)}`);
      const used =
        arrivals.filter(({ ms }) => ms >= RULE_FROM_MS).length / ((plan.durationMs - RULE_FROM_MS) / 1000);
      t.true(used >= plan.limit * 0.7, `seed ${String(seed)}: only ${String(used)} calls a second`);
    }
  });
}

test.serial(
  'guards against a burst of hosts that saved up their shares while they had no calls',
  async (t) => {
    const plan: FleetPlan = {
      callsPerS: buildEvenRates(16, 10),
      getLimit: () => 1,
      durationMs: DURATION_MS,
      quiet: { fromMs: 4000, toMs: 10_000 },
    };
    for (const seed of SEEDS) {
      const most = countMost(await simulateHosts(plan, seed), RULE_FROM_MS);
      t.true(most <= 4 * RULE_FACTOR + RULE_EXTRA_CALLS, `seed ${String(seed)}: ${String(most)} calls`);
    }
  },
);

test.serial('guards against a limit that stays in force after the server stopped stating it', async (t) => {
  const plan: FleetPlan = {
    callsPerS: buildEvenRates(8, 10),
    getLimit: (ms) => (ms < 8000 ? 2 : undefined),
    durationMs: 12_000,
  };
  const arrivals = await simulateHosts(plan, 1);
  t.true(arrivals.filter(({ ms }) => ms >= 10_000).length > 0.9 * 2 * 80);
});

test.serial('guards against a limit that changes with each answer', async (t) => {
  const plan: FleetPlan = {
    callsPerS: buildEvenRates(8, 10),
    getLimit: (ms) => 3 + ((ms / 10) % 5),
    durationMs: DURATION_MS,
  };
  const arrivals = await simulateHosts(plan, 1);
  t.true(countMost(arrivals, RULE_FROM_MS) <= 7 * 4 * RULE_FACTOR + RULE_EXTRA_CALLS);
});
