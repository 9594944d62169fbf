import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { SimulatedCluster } from './simulated-cluster.js';

const HOSTS = ['n1', 'n2', 'n3', 'n4', 'n5', 'n6', 'n7', 'n8', 'n9'];
const CONVERGENCE_MS = 13_000;

const startCluster = (hosts = HOSTS, seed = 1): SimulatedCluster => {
  const cluster = new SimulatedCluster();
  for (const [index, host] of hosts.entries()) cluster.startNode(host, `d${String(index % 3)}`, seed + index);
  return cluster;
};

/** Faults that are injected into one host, or into several. */
const FAULTS: Readonly<Record<string, (cluster: SimulatedCluster, host: string) => void>> = {
  'platform cut from one node': (cluster, host) => cluster.cutFromPlatform.add(host),
  'platform cut from all nodes but one': (cluster, host) => {
    for (const other of HOSTS) if (other !== host) cluster.cutFromPlatform.add(other);
  },
  'all watches without events': (cluster) => {
    for (const host of HOSTS) cluster.withoutEvents.add(host);
  },
  'node sends nothing': (cluster, host) => cluster.cutLinks.add(`${host}>*`),
  'node dead': (cluster, host) => void cluster.killNode(host),
  'node restarted': (cluster, host) => {
    void cluster.killNode(host);
    cluster.startNode(host, `d${String(HOSTS.indexOf(host) % 3)}`, 99);
  },
};

/** Asserts that each node that can reach the platform, or a peer that reaches it, has the newest generation. */
const assertNewest = (t: ExecutionContext, cluster: SimulatedCluster, detail: string): void => {
  const isSendBlocked = (host: string): boolean => cluster.cutLinks.has(`${host}>*`);
  const hasAccess = (host: string): boolean => !cluster.cutFromPlatform.has(host);
  const hasSource = [...cluster.nodes.keys()].some((host) => hasAccess(host) && !isSendBlocked(host));
  for (const [host, { watch, generations }] of cluster.nodes) {
    t.deepEqual(
      generations,
      [...new Set(generations)].sort((a, b) => a - b),
      `${host}: ${detail}`,
    );
    const canReceive = hasAccess(host) || (hasSource && !isSendBlocked(host));
    if (canReceive) t.is(watch.getConfig()?.generation, cluster.head?.generation, `${host}: ${detail}`);
  }
};

test.serial(
  'guards against a generation that decreases on a node or does not reach it, with two faults at a time',
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
        async (one, two, firstDelayMs, secondDelayMs, seed) => {
          const cluster = startCluster(HOSTS, seed);
          cluster.publishNext();
          await clock.tickAsync(2000);
          FAULTS[one.name]?.(cluster, one.host);
          await clock.tickAsync(firstDelayMs);
          cluster.publishNext();
          await clock.tickAsync(secondDelayMs);
          FAULTS[two.name]?.(cluster, two.host);
          cluster.publishNext();
          await clock.tickAsync(CONVERGENCE_MS);
          assertNewest(t, cluster, JSON.stringify([one, two]));
          cluster.stopAll();
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
    const cluster = startCluster(['n1', 'n2']);
    cluster.publishNext();
    await clock.tickAsync(1000);
    for (const host of HOSTS) cluster.cutFromPlatform.add(host);
    cluster.startNode('n3', 'd2', 7);
    await clock.tickAsync(1000);
    t.is(cluster.nodes.get('n3')?.watch.getConfig()?.generation, 1);
    await clock.tickAsync(60_000);
    t.false(cluster.nodes.get('n3')?.watch.isStale(), 'peers still answer');
    cluster.stopAll();
  },
);

test.serial(
  'guards against an isolated node that is not reported as stale, and against one that stays stale after it reconnects',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const cluster = startCluster();
    cluster.publishNext();
    await clock.tickAsync(10_000);
    const watch = cluster.nodes.get('n1')?.watch;
    const changes: boolean[] = [];
    watch?.onStaleChange((stale) => changes.push(stale));
    cluster.cutFromPlatform.add('n1');
    cluster.cutLinks.add('n1>*');
    await clock.tickAsync(4000);
    t.false(watch?.isStale());
    await clock.tickAsync(CONVERGENCE_MS);
    t.true(watch?.isStale());
    cluster.cutFromPlatform.delete('n1');
    await clock.tickAsync(5000);
    t.deepEqual(changes, [true, false]);
    cluster.stopAll();
  },
);

test.serial('guards against a platform watch on every node', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const cluster = startCluster();
  cluster.publishNext();
  await clock.tickAsync(1000);
  const started = performance.now();
  const times: number[] = [];
  for (const { watch } of cluster.nodes.values()) {
    watch.onConfig(({ generation }) => {
      if (generation === 2) times.push(performance.now() - started);
    });
  }
  cluster.publishNext();
  await clock.tickAsync(100);
  t.is(times.length, HOSTS.length);
  t.is(cluster.countWatchers(), 6);
  cluster.stopAll();
});

test.serial(
  'guards against a partial update that loses a file, keeps a removed one, or restores one',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const cluster = startCluster(['n1', 'n2', 'n3']);
    cluster.cutFromPlatform.add('n3');
    const publishes = [['b', 'c'], ['b', 'c', 'd'], ['b', 'd'], ['d'], ['b', 'd']];
    for (const [index, files] of publishes.entries()) {
      // The node is isolated for two generations, so that one update must cover both.
      if (index === 2) cluster.cutLinks.add('n3>*').add('n1>n3').add('n2>n3');
      if (index === 4) cluster.cutLinks.clear();
      cluster.publishNext(files);
      await clock.tickAsync(CONVERGENCE_MS);
      if (index === 2 || index === 3) continue;
      t.deepEqual(cluster.nodes.get('n3')?.watch.getHead(), cluster.head, `after publish ${String(index)}`);
    }
    cluster.stopAll();
  },
);
