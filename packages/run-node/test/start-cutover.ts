import { createHash } from 'node:crypto';
import type { ExecutionContext } from 'ava';
import { createEntryClient, type EntryClient } from '@laburnumshift/call-entry';
import { createPlatformClient } from '@laburnumshift/call-platform';
import { startFakeOlderSystem, type FakeOlderSystem } from '@laburnumshift/fakes/older-system';
import { startSite, type Site } from '@laburnumshift/fakes/site';
import { publishConfig } from '@laburnumshift/publish-config';
import { runNode } from '@laburnumshift/run-node';
import { waitFor } from '@laburnumshift/test-utils';
import type { ConfigSegment, NodeSettings } from '@laburnumshift/types';
import { buildSegment } from './build-segment.js';

export const ACCOUNTS = ['acme', 'other'] as const;
const TOKEN_MS = 10;

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
    platform: { writesPerSecond: 200, readsPerSecond: 1000 },
    journal: { shards: 2, retentionMs: 7_200_000, minWriteIntervalMs: 20 },
    shutdown: { balancerDelayMs: 10, drainMs: 5_000 },
    log: { level: 'error' },
  };
}

/** Nodes in this process that use the fake servers of a site and an older system, with both services in a cutover. */
export interface CutoverSite {
  readonly site: Site;
  readonly older: FakeOlderSystem;
  /** Gets the client of an account at the node with this index. */
  readonly getClient: (node: number, account?: (typeof ACCOUNTS)[number]) => EntryClient;
  readonly callersUrls: readonly string[];
  /** Publishes the share and the weight version, and waits until all nodes have applied them. */
  readonly publish: (share: number, version?: string) => Promise<void>;
  /** Returns the number of messages that nodes refused as malformed. All messages in these tests are valid. */
  readonly countRefused: () => Promise<number>;
  /** Returns the total number of runs of a key in both systems. */
  readonly countRuns: (key: string) => number;
}

/**
 * Starts `count` nodes with two accounts and closes them at the end of the test. The bearer key of an account is its name.
 *
 * @param deadlineMs - deadline of both services in milliseconds
 */
export async function startCutover(
  t: ExecutionContext,
  count: number,
  deadlineMs = 10_000,
): Promise<CutoverSite> {
  const site = await startSite({ pools: buildSegment('', new Map()).pools });
  const older = await startFakeOlderSystem({ tokenMs: TOKEN_MS });
  const nodes = await Promise.all(
    Array.from({ length: count }, (_, i) => runNode(buildSettings(site, `n${String(i)}`))),
  );
  const clients = new Map<string, EntryClient>();
  const platform = createPlatformClient({
    url: site.platform.url,
    writesPerSecond: 100,
    readsPerSecond: 100,
  });
  t.teardown(async () => {
    for (const client of clients.values()) client.close();
    await Promise.all(nodes.map((node) => node.stop()));
    platform.close();
    await Promise.all([site.close(), older.close()]);
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
  const buildConfig = (share: number, version: string): ConfigSegment => {
    const segment = buildSegment('', site.addresses);
    const cutover = { olderUrl: older.url, olderShare: share };
    return {
      ...segment,
      accounts: ACCOUNTS.flatMap((name) =>
        segment.accounts.map((account) => ({
          ...account,
          name,
          keys: [{ sha256: createHash('sha256').update(name).digest('hex') }],
        })),
      ),
      services: segment.services.map((service) => ({ ...service, cutover, deadlineMs })),
      pools: segment.pools.map((pool) =>
        pool.kind === 'model' ? { ...pool, weightVersion: version } : pool,
      ),
    };
  };
  const publish = async (share: number, version = 'v1'): Promise<void> => {
    const result = await publishConfig(platform, { segments: [buildConfig(share, version)], author: 'test' });
    if (result.kind !== 'published' && result.kind !== 'unchanged') throw new Error(result.kind);
    const generation = result.kind === 'unchanged' ? result.generation : result.head.generation;
    for (const node of nodes) {
      await waitFor('the generation', async () => {
        const status = (await (await fetch(`${node.operatorsUrl}/status`)).json()) as {
          nodes: { generation: number }[];
        };
        return status.nodes.length === count && status.nodes.every((n) => n.generation === generation);
      });
    }
  };
  return {
    site,
    older,
    callersUrls: nodes.map((node) => node.callersUrl),
    getClient: (node, account = 'acme') => {
      const id = `${String(node)}/${account}`;
      const client = clients.get(id) ?? createEntryClient(nodes[node]?.callersUrl ?? '', account);
      clients.set(id, client);
      return client;
    },
    publish,
    countRefused: async () => {
      const response = await fetch(`${nodes[0]?.operatorsUrl ?? ''}/status`);
      const status = (await response.json()) as { nodes: { mesh: Record<string, number> }[] };
      return status.nodes.reduce((sum, node) => sum + (node.mesh['bodies.refused'] ?? 0), 0);
    },
    countRuns: (key) => older.countRuns(key) + ([...site.services.values()][0]?.listRuns().get(key) ?? 0),
  };
}
