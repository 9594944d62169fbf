import test from 'ava';
import { installClock } from '@laburnumshift/test-utils';
import type { Fault } from './fake-platform.js';
import { simulateJournal } from './simulate-journal.js';

const KEYS = Array.from({ length: 40 }, (_, i) => `k${String(i)}`);

function startSimulation(shards: readonly number[], first: Fault) {
  const clock = installClock();
  const fault = { now: first };
  const settings = { shards, retentionMs: 60_000, minWriteIntervalMs: 80, limits: {} };
  const sim = simulateJournal(
    () => fault.now,
    () => 0.5,
    settings,
  );
  /** Sends each key once through the node and lists the decisions. */
  const sendAll = async (node: number, ms: number): Promise<readonly string[]> => {
    const decisions = Promise.all(KEYS.map((key) => sim.runCall(node, key, 0, 'finish')));
    await clock.tickAsync(ms);
    return (await decisions).map((decision) => decision.kind);
  };
  const readStored = () => sim.platform.objects.get('journal-layout/main')?.value;
  return { clock, fault, sim, sendAll, readStored };
}

for (const first of ['none', 'lost-applied', 'lost', 'late'] as const) {
  // Guards against a key that runs twice because two nodes search for its record in different shards.
  test.serial(
    `nodes with different settings use one layout, fault of the first writes: ${first}`,
    async (t) => {
      const { clock, fault, sim, sendAll, readStored } = startSimulation([2, 5, 3], first);
      t.teardown(() => {
        clock.uninstall();
      });
      await clock.tickAsync(100);
      fault.now = 'none';
      await clock.tickAsync(3000);
      t.deepEqual(new Set(await sendAll(0, 3000)), new Set(['run']));
      t.deepEqual(new Set(await sendAll(1, 3000)), new Set(['finished']));
      sim.killNode(0);
      t.deepEqual(new Set(await sendAll(0, 3000)), new Set(['finished']));
      const stored = readStored() as { shards: number };
      const names = [...sim.platform.objects.keys()].filter((name) => name.startsWith('journal/'));
      t.is(new Set(names.map((name) => name.split('.')[0])).size, stored.shards);
      t.deepEqual(sim.problems, []);
    },
  );
}

// Guards against a node that uses its own setting while the platform is down, or refuses calls after the platform
// recovered.
test.serial('calls are unavailable until the layout has been read', async (t) => {
  const { clock, fault, sim, sendAll, readStored } = startSimulation([2, 5, 3], 'refused');
  t.teardown(() => {
    clock.uninstall();
  });
  await clock.tickAsync(1000);
  t.deepEqual(new Set(await sendAll(0, 100)), new Set(['unavailable']));
  t.deepEqual(
    await Promise.all([sim.findCall(1, 'k1'), clock.tickAsync(100)]).then(([found]) => found?.kind),
    'unavailable',
  );
  t.is(readStored(), undefined);
  t.is(sim.runs.size, 0);
  fault.now = 'none';
  await clock.tickAsync(1000);
  t.deepEqual(new Set(await sendAll(1, 3000)), new Set(['run']));
  t.deepEqual(readStored(), { shards: 5 });
  t.deepEqual(new Set(await sendAll(0, 3000)), new Set(['finished']));
  t.deepEqual(sim.problems, []);
});

// Guards against a stored layout that is not valid and is overwritten or ignored.
test.serial('calls stay unavailable while the stored layout is not valid', async (t) => {
  const { clock, fault, sim, sendAll } = startSimulation([2, 2, 2], 'refused');
  t.teardown(() => {
    clock.uninstall();
  });
  const stored = { kind: 'journal-layout', name: 'main', version: 1, value: { shards: 0 } };
  sim.platform.objects.set('journal-layout/main', stored);
  fault.now = 'none';
  await clock.tickAsync(1000);
  t.deepEqual(new Set(await sendAll(0, 3000)), new Set(['unavailable']));
  t.deepEqual([...sim.platform.objects.values()], [stored]);
});
