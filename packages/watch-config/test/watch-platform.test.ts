import { createPlatformClient } from '@laburnumshift/call-platform';
import { startFakePlatform } from '@laburnumshift/fakes/platform';
import { publishConfig, type PublishResult } from '@laburnumshift/publish-config';
import { waitFor } from '@laburnumshift/test-utils';
import type { ConfigSegment, PlatformClient } from '@laburnumshift/types';
import test from 'ava';
import { SimulatedCluster } from './simulated-cluster.js';

const makeSegment = (count: number): ConfigSegment => ({
  file: 'a.laburnum.jsonc',
  accounts: [],
  services: [],
  pools: [],
  routes: [],
  ...{ count },
});

test('guards against a published generation that nodes with a real platform client do not receive', async (t) => {
  const fake = await startFakePlatform({ historyLimit: 2 });
  const clients: PlatformClient[] = [];
  const makeClient = (): PlatformClient => {
    const client = createPlatformClient({
      url: fake.url,
      readsPerSecond: 500,
      writesPerSecond: 500,
      deadlineMs: 500,
    });
    clients.push(client);
    return client;
  };
  const cluster = new SimulatedCluster();
  t.teardown(async () => {
    cluster.stopAll();
    for (const client of clients) client.close();
    await fake.stop();
  });
  const publisher = makeClient();
  const publishNext = (count: number): Promise<PublishResult> =>
    publishConfig(publisher, { segments: [makeSegment(count)], author: 'ann' });
  const waitForAll = (generation: number): Promise<void> =>
    waitFor(`generation ${String(generation)} on all nodes`, () =>
      [...cluster.nodes.values()].every(({ watch }) => watch.getConfig()?.generation === generation),
    );

  await publishNext(1);
  for (const [index, host] of ['n1', 'n2', 'n3', 'n4'].entries())
    cluster.startNode(host, 'd', index, makeClient());
  await waitForAll(1);
  await waitFor('the watches', () => (fake.getCounts().watch ?? 0) >= 2);
  for (let count = 2; count < 7; count += 1) {
    fake.setFaults({ loseAnswerAfter: count % 2 });
    t.is((await publishNext(count)).kind, 'published');
  }
  fake.setFaults({ loseAnswerAfter: 0 });
  await waitForAll(6);
  fake.setFaults({ down: true });
  cluster.startNode('n5', 'd', 5, makeClient());
  await waitForAll(6);
  for (const { generations } of cluster.nodes.values()) {
    t.deepEqual(
      generations,
      [...generations].sort((a, b) => a - b),
    );
  }
});
