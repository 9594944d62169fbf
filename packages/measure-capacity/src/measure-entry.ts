import { createHash } from 'node:crypto';
import { createEntryClient } from '@laburnumshift/call-entry';
import { createPlatformClient } from '@laburnumshift/call-platform';
import { sleep } from '@laburnumshift/clock';
import { startSite } from '@laburnumshift/fakes/site';
import { publishConfig } from '@laburnumshift/publish-config';
import { runNode } from '@laburnumshift/run-node';
import type { BackendServer, PoolConfig } from '@laburnumshift/types';
import { buildSegments } from './build-segments.js';
import { buildSettings } from './build-settings.js';
import type { Point } from './point.js';
import type { Series } from './series.js';
import { measureProcessorTime } from './measure-processor-time.js';

const TOKENS = [4, 64, 256];
const CALLS = 30;
const SETTLE_MS = 2000;

/**
 * Measures completions through one whole node by the tokens of the answer. Caller and fake engine run in the same process,
 * so the figures are above those of the node alone.
 */
export async function measureEntry(): Promise<readonly Series[]> {
  const server: BackendServer = {
    name: 'engine-1',
    url: 'http://10.0.0.1:8000',
    failureDomain: 'domain-0',
    checksFencing: true,
    slots: 64,
    prefillTokensPerSecond: 1e6,
    decodeTokensPerSecond: 1e4,
  };
  const pool: PoolConfig = {
    name: 'pool-0',
    kind: 'model',
    servers: [server],
    stores: [],
    model: 'model-0',
    weightVersion: 'v1',
    adapters: [],
    pieceTokens: 2000,
    pieceBytes: 1e6,
    urgentSlots: 0,
  };
  const site = await startSite({ pools: [pool] });
  const client = createPlatformClient({ url: site.platform.url, writesPerSecond: 400, readsPerSecond: 2000 });
  const key = 'key-of-the-measurement';
  const sha256 = createHash('sha256').update(key).digest('hex');
  const limits = { requestsPerSecond: 1e6, tokensPerSecond: 1e9, concurrent: 1e4 };
  const url = site.addresses.get(server.url) ?? server.url;
  const own = [...buildSegments(1, 0).segments.values()].filter(({ pools }) => pools.length === 0);
  const segments = [
    ...own.map((segment) => ({
      ...segment,
      accounts: segment.accounts.map((account) => ({ ...account, keys: [{ sha256 }], limits })),
    })),
    {
      file: 'pool.laburnum.jsonc',
      accounts: [],
      services: [],
      routes: [],
      pools: [{ ...pool, servers: [{ ...server, url }] }],
    },
  ];
  const published = await publishConfig(client, { segments, author: 'operator' });
  const node = await runNode(buildSettings(0, 1, site.platform.url));
  await sleep(SETTLE_MS);
  const entry = createEntryClient(node.callersUrl, key);
  const points: Point[] = [];
  for (const x of TOKENS) {
    const y = await measureProcessorTime(CALLS, async (turn) => {
      const prompt = `prompt ${String(x)} ${String(turn)}`;
      const output = await entry.complete({ service: 'service-0000', prompt, maxTokens: x });
      if (!output.finished) throw new Error(`${JSON.stringify(output.error)} ${JSON.stringify(published)}`);
    });
    points.push({ x, y });
  }
  await node.stop();
  client.close();
  await site.close();
  return [{ name: 'completion, fake engine included', unit: 'us', per: 'output tokens', points }];
}
