import test from 'ava';
import { installClock } from '@laburnumshift/test-utils';
import { simulateMembers, type SimulatedNode } from './simulate-members.js';

type Clock = ReturnType<typeof installClock>;

async function runUntil(clock: Clock, condition: () => boolean, limitMs: number): Promise<number> {
  for (let ms = 0; ms <= limitMs; ms += 50) {
    if (condition()) return ms;
    await clock.tickAsync(50);
  }
  return Infinity;
}
const isListed = (node: SimulatedNode, host: string): boolean =>
  node.membership.listLiveMembers().some((m) => m.host === host);

const sizes = process.env.MEMBERS_SIZES?.split(',').map(Number) ?? [8, 32];
for (const size of sizes) {
  // Failures are detected in time, short outages declare no member dead, a healed partition leads to one view again, and the
  // message rate and bytes of a node stay within bounds at each size.
  test.serial(
    `${String(size)} members: detection time, no false deaths, recovery from a partition, and message cost`,
    async (t) => {
      const clock = installClock();
      t.teardown(() => {
        clock.uninstall();
      });
      const sim = simulateMembers(size);
      const nodes = Array.from({ length: size }, (_, i) => sim.addNode(i));
      t.true((await runUntil(clock, sim.hasFullView, 20_000)) < 20_000);
      let falseDeaths = 0;
      let paused: SimulatedNode | undefined;
      for (const node of nodes) {
        node.membership.onChange((live) => {
          // A node that was unreachable long enough declares the others dead until it hears of them again.
          if (node.group !== 'all' || node === paused) return;
          const lost = nodes.filter((n) => n.group === 'all' && n !== paused);
          falseDeaths += lost.filter((n) => !live.some((m) => m.host === n.self.host)).length;
        });
      }

      // Records from the start are disseminated for up to 50 s at 128 members.
      await clock.tickAsync(60_000);
      const before = { ...sim.counts };
      await clock.tickAsync(20_000);
      const countPerSecond = (now: number, then: number): number => Math.round((now - then) / 20 / size);
      const messages = countPerSecond(sim.counts.messages, before.messages);
      const bytes = countPerSecond(sim.counts.bytes, before.bytes);
      t.true(messages <= 20 && bytes <= 10_000, `${String(messages)} messages, ${String(bytes)} bytes`);

      const times: number[] = [];
      for (const victim of nodes.slice(2, 7)) {
        await clock.tickAsync(777);
        victim.group = 'off';
        const others = nodes.filter((n) => n.group === 'all');
        times.push(await runUntil(clock, () => others.every((n) => !isListed(n, victim.self.host)), 10_000));
        paused = victim;
        victim.group = 'all';
        t.true(
          (await runUntil(clock, sim.hasFullView, 20_000)) < 20_000,
          'a member that is reachable again did not rejoin',
        );
        paused = undefined;
      }
      t.true(Math.max(...times) <= 3000, `detection ${times.join(', ')} ms`);

      let shortDeaths = 0;
      for (const victim of nodes.slice(2, 7)) {
        victim.group = 'off';
        await clock.tickAsync(800);
        victim.group = 'all';
        await clock.tickAsync(3000);
        shortDeaths += nodes.filter((n) => !isListed(n, victim.self.host)).length;
      }
      t.deepEqual({ shortDeaths, falseDeaths }, { shortDeaths: 0, falseDeaths: 0 });

      nodes.forEach((node, i) => (node.group = i % 2 === 0 ? 'all' : 'other'));
      await clock.tickAsync(10_000);
      t.true(nodes.every((n) => n.membership.listLiveMembers().length === size / 2));
      falseDeaths = 0;
      paused = undefined;
      for (const node of nodes) node.group = 'all';
      const healMs = await runUntil(clock, sim.hasFullView, 60_000);
      t.true(healMs < 60_000);
      t.log({ size, detectionMs: times, healMs, messages, bytes });
      sim.close();
    },
  );
}

test.serial(
  'a pause of all processes declares none dead, a new process replaces the old one, and a leaving node stays removed',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const sim = simulateMembers(5, false);
    const nodes = Array.from({ length: 6 }, (_, i) => sim.addNode(i));
    t.true((await runUntil(clock, sim.hasFullView, 20_000)) < 20_000);
    clock.jump(30_000);
    await clock.tickAsync(200);
    t.true(sim.hasFullView());
    await clock.tickAsync(5000);
    t.true(sim.hasFullView());

    nodes[5]?.membership.close();
    sim.addNode(5, 2);
    await runUntil(clock, sim.hasFullView, 5000);
    await clock.tickAsync(1000);
    t.is(nodes[2]?.membership.listLiveMembers().find((m) => m.host === 'node-5')?.incarnation, 2);

    const left = nodes[3]?.membership.leave();
    await clock.tickAsync(1000);
    await left;
    t.true(nodes.every((n, i) => i === 5 || !isListed(n, 'node-3')));
    await clock.tickAsync(5000);
    t.true(nodes.every((n, i) => i === 5 || !isListed(n, 'node-3')));
    sim.close();
  },
);
