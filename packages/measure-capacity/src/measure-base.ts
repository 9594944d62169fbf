import { createPlatformClient } from '@laburnumshift/call-platform';
import { sleep } from '@laburnumshift/clock';
import { startFakePlatform } from '@laburnumshift/fakes/platform';
import { publishConfig } from '@laburnumshift/publish-config';
import { buildSegments } from './build-segments.js';
import { buildSettings } from './build-settings.js';
import type { Point } from './point.js';
import type { Series } from './series.js';
import { startNodeProcess } from './start-node-process.js';

const POOLS = [0, 3, 7];
const SETTLE_MS = 8000;
const RUN_MS = 6000;
const ROUNDS = 2;
const MS_PER_S = 1000;

/**
 * Measures one node in a process of its own without requests, accounts and engines, by empty pools. It has the home of
 * the one cell of each pool and its lease.
 */
export async function measureBase(): Promise<readonly Series[]> {
  const cpu: Point[] = [];
  const rss: Point[] = [];
  const held: Point[] = [];
  for (const x of POOLS) {
    const platform = await startFakePlatform();
    const client = createPlatformClient({ url: platform.url, writesPerSecond: 400, readsPerSecond: 2000 });
    const pools = [...buildSegments(0, 0).segments.values()].slice(0, x);
    const account = [...buildSegments(1, 0).segments.values()].slice(0, 1);
    const segments = [...account.map((one) => ({ ...one, services: [], routes: [] })), ...pools];
    const published = await publishConfig(client, { segments, author: 'operator' });
    if (published.kind !== 'published') throw new Error(JSON.stringify(published).slice(0, 300));
    const node = await startNodeProcess(buildSettings(0, 1, platform.url));
    await sleep(SETTLE_MS);
    let best = Infinity;
    let use = await node.readUse();
    for (let round = 0; round < ROUNDS; round += 1) {
      const before = use;
      await sleep(RUN_MS);
      use = await node.readUse();
      best = Math.min(best, (use.us - before.us) / (RUN_MS / MS_PER_S));
    }
    cpu.push({ x, y: best });
    rss.push({ x, y: use.rss });
    held.push({ x, y: use.held });
    node.stop();
    client.close();
    await platform.stop();
  }
  return [
    { name: 'time', unit: 'us/s', per: 'pools', points: cpu },
    { name: 'resident memory', unit: 'bytes', per: 'pools', points: rss },
    { name: 'heap and buffers', unit: 'bytes', per: 'pools', points: held },
  ];
}
