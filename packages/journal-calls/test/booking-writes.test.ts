import test from 'ava';
import { installClock } from '@laburnumshift/test-utils';
import { simulateJournal } from './simulate-journal.js';

const SECONDS = 4;
const pickHalf = (): number => 0.5;

for (const shards of [2, 3, 4]) {
  // Guards against one platform write for each booking. The target is at least 20 bookings per write at 1,000 bookings
  // a second.
  test.serial(
    `1,000 bookings a second over ${String(shards)} shards are batched into few writes`,
    async (t) => {
      const clock = installClock();
      t.teardown(() => {
        clock.uninstall();
      });
      const settings = {
        shards: [shards, shards, shards],
        retentionMs: 7_200_000,
        minWriteIntervalMs: 80,
        limits: {},
      };
      const sim = simulateJournal(() => 'none', pickHalf, settings);
      const waits: number[] = [];
      for (let i = 0; i < SECONDS * 1000; i += 1) {
        const startMs = performance.now();
        void sim.runCall(i % 3, `key-${String(i)}`, 0, 'finish').then((decision) => {
          t.is(decision.kind, 'run');
          waits.push(performance.now() - startMs);
        });
        await clock.tickAsync(1);
      }
      await clock.tickAsync(2000);
      t.is(sim.confirmed.size, SECONDS * 1000);
      t.deepEqual(sim.problems, []);
      const perWrite = (SECONDS * 1000) / sim.platform.counts.writes;
      waits.sort((a, b) => a - b);
      const p99 = waits[Math.floor(waits.length * 0.99)];
      // Each object needs one deletion when its retention time is over.
      const perObject = Math.round((SECONDS * 1000) / sim.platform.objects.size);
      t.log({
        perObject,
        shards,
        bookingsPerWrite: Number(perWrite.toFixed(1)),
        p99ToConfirmedAnswerMs: p99,
      });
      t.true(perWrite >= (shards <= 3 ? 20 : 15));
      for (const node of sim.nodes) await node.journal.close();
    },
  );
}
