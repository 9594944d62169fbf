import test, { type ExecutionContext } from 'ava';
import { createEntryClient } from '@laburnumshift/call-entry';
import { createPlatformClient } from '@laburnumshift/call-platform';
import { computeAnswer } from '@laburnumshift/fakes/engine';
import { startSite, type Site } from '@laburnumshift/fakes/site';
import { publishConfig } from '@laburnumshift/publish-config';
import { runNode, type RunningNode } from '@laburnumshift/run-node';
import { waitFor } from '@laburnumshift/test-utils';
import type { ConfigSegment, NodeSettings } from '@laburnumshift/types';
import { buildSegment } from './build-segment.js';

const KEY = 'a-test-key';

function buildSettings(site: Site, host: string): NodeSettings {
  return {
    host,
    failureDomain: 'd1',
    callers: '127.0.0.1:0',
    operators: '127.0.0.1:0',
    mesh: '127.0.0.1:0',
    platformUrl: site.platform.url,
    seeds: [],
    meshSecret: 'a-secret-of-the-tests',
    limits: { maxBodyBytes: 1e6, maxHeaderBytes: 16_384, maxConnections: 100, maxBufferedBytes: 1e6 },
    platform: { writesPerSecond: 100, readsPerSecond: 500 },
    journal: { shards: 2, retentionMs: 7_200_000, minWriteIntervalMs: 20 },
    shutdown: { balancerDelayMs: 100, drainMs: 20_000 },
    log: { level: 'error' },
  };
}

async function publish(site: Site, segment: ConfigSegment): Promise<void> {
  const platform = createPlatformClient({
    url: site.platform.url,
    writesPerSecond: 100,
    readsPerSecond: 100,
  });
  const result = await publishConfig(platform, { segments: [segment], author: 'test' });
  platform.close();
  if (result.kind !== 'published') throw new Error(result.kind);
}

async function startNodes(
  t: ExecutionContext,
  count: number,
): Promise<{ readonly site: Site; readonly nodes: RunningNode[] }> {
  const declared = buildSegment(KEY, new Map());
  const site = await startSite({ pools: declared.pools });
  const nodes: RunningNode[] = [];
  for (let i = 0; i < count; i += 1) nodes.push(await runNode(buildSettings(site, `n${String(i)}`)));
  t.teardown(async () => {
    await Promise.all(nodes.map((node) => node.stop()));
    await site.close();
  });
  site.setNodes(
    nodes.map((node, i) => ({
      host: `n${String(i)}`,
      kind: 'node' as const,
      failureDomain: 'd1',
      state: 'live' as const,
      address: node.meshAddress,
    })),
  );
  await publish(site, buildSegment(KEY, site.addresses));
  for (const node of nodes) {
    await waitFor('readiness', async () => (await fetch(`${node.operatorsUrl}/readyz`)).status === 200);
  }
  return { site, nodes };
}

test('guards against a graceful stop that cuts a stream or accepts new requests', async (t) => {
  const { nodes } = await startNodes(t, 2);
  const client = createEntryClient(nodes[0]?.callersUrl ?? '', KEY);
  const request = { service: 'chat', prompt: 'a question', maxTokens: 60 };
  const running = client.complete(request);
  await waitFor('a run', async () => {
    const status = (await (await fetch(`${nodes[0]?.operatorsUrl ?? ''}/status`)).json()) as {
      nodes: { runs: { running: number } }[];
    };
    return (status.nodes[0]?.runs.running ?? 0) > 0;
  });
  const stopping = nodes[0]?.stop();
  const output = await running;
  t.true(output.finished);
  t.deepEqual(output.tokens, computeAnswer('m', 'a question', 60));
  await stopping;
  t.false((await client.complete(request)).finished);
  const other = createEntryClient(nodes[1]?.callersUrl ?? '', KEY);
  t.true((await other.complete(request)).finished);
  client.close();
  other.close();
});

test('guards against a booking that runs more than once when it is sent through several nodes', async (t) => {
  const { site, nodes } = await startNodes(t, 3);
  const clients = nodes.map((node) => createEntryClient(node.callersUrl, KEY));
  const call = { service: 'book', path: '/book', key: 'b1', issuedAtMs: Date.now(), body: '{}' };
  const answers = await Promise.all(clients.map((client) => client.call(call)));
  t.true(answers.some((answer) => answer.kind === 'answered' && answer.status === 200));
  t.is([...site.services.values()][0]?.countRuns('b1'), 1);
  const again = await clients[0]?.call(call);
  t.is(again?.kind, 'answered');
  t.is([...site.services.values()][0]?.countRuns('b1'), 1);
  for (const client of clients) client.close();
});
