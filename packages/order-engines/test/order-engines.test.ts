import test from 'ava';
import { installClock } from '@laburnumshift/test-utils';
import { simulateOrders } from './simulate-orders.js';

type Simulation = ReturnType<typeof simulateOrders>;

const SIZE = 6;
const SAMPLE_MS = 50;
/** Each function starts a fault and returns a function that ends it. */
const FAULTS: Record<string, (sim: Simulation) => () => void> = {
  'holder paused': (sim) => {
    const node = sim.nodes[sim.findHolder()];
    if (node !== undefined) node.processState.isPaused = true;
    return () => {
      if (node !== undefined) node.processState.isPaused = false;
    };
  },
  'holder replaced': (sim) => {
    sim.replaceNode(sim.findHolder());
    return () => undefined;
  },
  'holder released': (sim) => {
    sim.releaseNode(sim.findHolder());
    return () => undefined;
  },
  'orders stuck': (sim) => {
    sim.switches.orders = 'stuck';
    return () => (sim.switches.orders = 'ok');
  },
  'platform down': (sim) => {
    sim.switches.platform = 'down';
    return () => (sim.switches.platform = 'ok');
  },
  'platform answers lost': (sim) => {
    sim.switches.platform = 'answers-lost';
    return () => (sim.switches.platform = 'ok');
  },
  'order answers lost': (sim) => {
    sim.switches.orders = 'answers-lost';
    return () => (sim.switches.orders = 'ok');
  },
  'orders lost': (sim) => {
    sim.switches.orders = 'lost';
    return () => (sim.switches.orders = 'ok');
  },
  'orders late': (sim) => {
    sim.switches.orders = 'late';
    return () => (sim.switches.orders = 'ok');
  },
  'engines restart': (sim) => {
    sim.restartEngine(0);
    sim.restartEngine(1);
    return () => undefined;
  },
  'engine unreachable': (sim) => {
    for (const engine of sim.engines.slice(0, 2)) engine.isUp = false;
    return () => {
      for (const engine of sim.engines) engine.isUp = true;
    };
  },
  'slow loads': (sim) => {
    sim.switches.loadMs = 6000;
    return () => (sim.switches.loadMs = 600);
  },
  'late reports': (sim) => {
    sim.switches.reportLagMs = 900;
    return () => (sim.switches.reportLagMs = 200);
  },
  rollback: (sim) => {
    Object.assign(sim.declared, { version: 'v1', generation: 3 });
    return () => undefined;
  },
};

async function runFor(clock: ReturnType<typeof installClock>, sim: Simulation, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += SAMPLE_MS) {
    await clock.tickAsync(SAMPLE_MS);
    sim.recordReports();
  }
}

for (const first of Object.keys(FAULTS)) {
  // Two overlapping faults must not lead to two lease holders, an executed order of a previous holder, more than two loads at
  // once, or a rollout that does not finish.
  test.serial(
    `a rollout stays within its limits and finishes despite two faults at once: ${first} and each other`,
    async (t) => {
      for (const second of Object.keys(FAULTS)) {
        const clock = installClock();
        try {
          const sim = simulateOrders(SIZE);
          await runFor(clock, sim, 60_000);
          t.true(sim.isDone(), 'the first rollout did not finish');
          Object.assign(sim.declared, { version: 'v2', generation: 2 });
          await runFor(clock, sim, 1200);
          const endFaults = [FAULTS[first]?.(sim)];
          await runFor(clock, sim, 700);
          endFaults.push(FAULTS[second]?.(sim));
          await runFor(clock, sim, 14_000);
          for (const end of endFaults) end?.();
          await runFor(clock, sim, 150_000);
          t.deepEqual([...sim.problems], [], `${first}, ${second}`);
          t.true(sim.isDone(), `${first}, ${second}: not finished`);
          sim.close();
          await clock.tickAsync(1000);
        } finally {
          clock.uninstall();
        }
      }
    },
  );
}

// Orders sent before a lease is released may reach engines while another node holds it. Half of the engines do not check
// fencing numbers and execute such orders until the deadline.
test.serial(
  'orders of the previous lease holder that arrive late do not break the limits of the rollout',
  async (t) => {
    const cases = (['late', 'stuck'] as const).flatMap((kind) => [
      { kind, warmUpMs: 0, lastMs: 7000 },
      { kind, warmUpMs: 60_000, lastMs: 3000 },
    ]);
    for (const { kind, warmUpMs, lastMs } of cases) {
      for (let offsetMs = 100; offsetMs <= lastMs; offsetMs += 100) {
        const clock = installClock();
        try {
          const sim = simulateOrders(SIZE);
          await runFor(clock, sim, warmUpMs);
          Object.assign(sim.switches, { orders: kind, loadMs: 6000 });
          sim.declared.version = 'v2';
          await runFor(clock, sim, offsetMs);
          sim.releaseNode(sim.findHolder());
          await runFor(clock, sim, 100);
          sim.switches.orders = 'ok';
          await runFor(clock, sim, 150_000);
          t.deepEqual([...sim.problems], [], `${kind} ${String(warmUpMs)} ${String(offsetMs)}`);
          t.true(sim.isDone());
          sim.close();
          await clock.tickAsync(1000);
        } finally {
          clock.uninstall();
        }
      }
    }
  },
);

test.serial(
  'half of the engines stay in service during rollout and rollback, and each order has an audit record',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const sim = simulateOrders(SIZE);
    await runFor(clock, sim, 60_000);
    t.true(sim.isDone());
    for (const version of ['v2', 'v1']) {
      sim.counts.fewestServing = SIZE;
      sim.declared.version = version;
      await runFor(clock, sim, 90_000);
      t.true(sim.isDone());
      t.true(sim.counts.fewestServing >= SIZE / 2, String(sim.counts.fewestServing));
    }
    t.is(sim.records.filter((record) => record.result === 'accepted').length, sim.counts.accepted);
    t.is(sim.counts.accepted, SIZE * 3 + SIZE * 2 * 2);
    t.deepEqual([...sim.problems], []);
    sim.close();
  },
);
