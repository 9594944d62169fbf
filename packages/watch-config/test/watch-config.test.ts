import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { MemoryWorld } from './memory-world.js';

const HOSTS = ['n1', 'n2', 'n3', 'n4', 'n5', 'n6', 'n7', 'n8', 'n9'];
const LIMIT_MS = 13_000;

const startWorld = (hosts = HOSTS, seed = 1): MemoryWorld => {
  const world = new MemoryWorld();
  for (const [index, host] of hosts.entries()) world.startNode(host, `d${String(index % 3)}`, seed + index);
  return world;
};

/** Faults of one round; each hits one of the hosts or all of them. */
const FAULTS: Readonly<Record<string, (world: MemoryWorld, host: string) => void>> = {
  'platform cut from one node': (world, host) => world.cutFromPlatform.add(host),
  'platform cut from all nodes but one': (world, host) => {
    for (const other of HOSTS) if (other !== host) world.cutFromPlatform.add(other);
  },
  'all watches mute': (world) => {
    for (const host of HOSTS) world.muted.add(host);
  },
  'node sends nothing': (world, host) => world.cutLinks.add(`${host}>*`),
  'node dead': (world, host) => void world.killNode(host),
  'node restarted': (world, host) => {
    void world.killNode(host);
    world.startNode(host, `d${String(HOSTS.indexOf(host) % 3)}`, 99);
  },
};

/** Each node must know the newest generation that the platform, or a peer with access to it, can still tell it. */
const assertNewest = (t: ExecutionContext, world: MemoryWorld, detail: string): void => {
  const isMute = (host: string): boolean => world.cutLinks.has(`${host}>*`);
  const hasAccess = (host: string): boolean => !world.cutFromPlatform.has(host);
  const isSourceLeft = [...world.nodes.keys()].some((host) => hasAccess(host) && !isMute(host));
  for (const [host, { watch, generations }] of world.nodes) {
    t.deepEqual(
      generations,
      [...new Set(generations)].sort((a, b) => a - b),
      `${host}: ${detail}`,
    );
    const canKnow = hasAccess(host) || (isSourceLeft && !isMute(host));
    if (canKnow) t.is(watch.getConfig()?.generation, world.head?.generation, `${host}: ${detail}`);
  }
};

test.serial(
  'guards against a generation that goes back or misses a node under two faults at a time',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const faultArb = fc.record({
      name: fc.constantFrom(...Object.keys(FAULTS)),
      host: fc.constantFrom(...HOSTS),
    });
    await fc.assert(
      fc.asyncProperty(
        faultArb,
        faultArb,
        fc.nat(3000),
        fc.nat(50),
        fc.nat(1000),
        async (one, two, apart, early, seed) => {
          const world = startWorld(HOSTS, seed);
          world.publishNext();
          await clock.tickAsync(2000);
          FAULTS[one.name]?.(world, one.host);
          await clock.tickAsync(apart);
          world.publishNext();
          await clock.tickAsync(early);
          FAULTS[two.name]?.(world, two.host);
          world.publishNext();
          await clock.tickAsync(LIMIT_MS);
          assertNewest(t, world, JSON.stringify([one, two]));
          world.stopAll();
        },
      ),
      { seed: 20261207, numRuns: 80 },
    );
  },
);

test.serial(
  'guards against a node that starts without the newest generation while the platform is down',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const world = startWorld(['n1', 'n2']);
    world.publishNext();
    await clock.tickAsync(1000);
    for (const host of HOSTS) world.cutFromPlatform.add(host);
    world.startNode('n3', 'd2', 7);
    await clock.tickAsync(1000);
    t.is(world.nodes.get('n3')?.watch.getConfig()?.generation, 1);
    await clock.tickAsync(60_000);
    t.false(world.nodes.get('n3')?.watch.isStale(), 'peers still answer');
    world.stopAll();
  },
);

test.serial(
  'guards against a cut-off node that goes on, and against a staleness that never ends',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const world = startWorld();
    world.publishNext();
    await clock.tickAsync(10_000);
    const watch = world.nodes.get('n1')?.watch;
    const changes: boolean[] = [];
    watch?.onStaleChange((stale) => changes.push(stale));
    world.cutFromPlatform.add('n1');
    world.cutLinks.add('n1>*');
    await clock.tickAsync(4000);
    t.false(watch?.isStale());
    await clock.tickAsync(LIMIT_MS);
    t.true(watch?.isStale());
    world.cutFromPlatform.delete('n1');
    await clock.tickAsync(5000);
    t.deepEqual(changes, [true, false]);
    world.stopAll();
  },
);

test.serial('guards against a watch on every node', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const world = startWorld();
  world.publishNext();
  await clock.tickAsync(1000);
  const started = performance.now();
  const times: number[] = [];
  for (const { watch } of world.nodes.values()) {
    watch.onConfig(({ generation }) => {
      if (generation === 2) times.push(performance.now() - started);
    });
  }
  world.publishNext();
  await clock.tickAsync(100);
  t.is(times.length, HOSTS.length);
  t.is(world.countWatchers(), 6);
  world.stopAll();
});

test.serial('guards against files that a partial update loses, keeps or brings back', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const world = startWorld(['n1', 'n2', 'n3']);
  world.cutFromPlatform.add('n3');
  const publishes = [['b', 'c'], ['b', 'c', 'd'], ['b', 'd'], ['d'], ['b', 'd']];
  for (const [index, files] of publishes.entries()) {
    // Cut off for two generations, so that one update covers both.
    if (index === 2) world.cutLinks.add('n3>*').add('n1>n3').add('n2>n3');
    if (index === 4) world.cutLinks.clear();
    world.publishNext(files);
    await clock.tickAsync(LIMIT_MS);
    if (index === 2 || index === 3) continue;
    t.deepEqual(world.nodes.get('n3')?.watch.getHead(), world.head, `after publish ${String(index)}`);
  }
  world.stopAll();
});
