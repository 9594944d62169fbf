import { createPlatformClient } from '@laburnumshift/call-platform';
import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { startFakePlatform } from '@laburnumshift/fakes/platform';
import { publishConfig } from '@laburnumshift/publish-config';
import { buildSegments } from './build-segments.js';
import { buildSettings } from './build-settings.js';
import type { NodeProcess } from './node-process.js';
import type { Point } from './point.js';
import type { Series } from './series.js';
import { startNodeProcess } from './start-node-process.js';

const ACCOUNTS = [10, 100, 1000, 4100];
const SETTLE_MS = 8000;
const RUN_MS = 8000;
const MS_PER_S = 1000;
const LIMIT_MS = 60_000;

/**
 * Measures a node in a process of its own by the accounts of the configuration: memory and time without requests, and the
 * start of a second node beside it, with the platform reads until it has the configuration.
 */
export async function measureProcess(): Promise<readonly Series[]> {
  const rss: Point[] = [];
  const held: Point[] = [];
  const cpu: Point[] = [];
  const startMs: Point[] = [];
  const startReads: Point[] = [];
  for (const x of ACCOUNTS) {
    const platform = await startFakePlatform({ readsPerSecond: 1e6, writesPerSecond: 1e6 });
    const client = createPlatformClient({ url: platform.url, writesPerSecond: 1e6, readsPerSecond: 1e6 });
    // Engines that do not exist would cost the nodes connections, so the pools are empty.
    const segments = [...buildSegments(x, 0).segments.values()];
    const published = await publishConfig(client, { segments, author: 'operator' });
    if (published.kind !== 'published') throw new Error(JSON.stringify(published).slice(0, 300));
    const first = await startNodeProcess(buildSettings(0, 1, platform.url));
    await waitReady(first);
    await first.readUse();
    await sleep(SETTLE_MS);
    const before = await first.readUse();
    await sleep(RUN_MS);
    const after = await first.readUse();
    cpu.push({ x, y: (after.us - before.us) / (RUN_MS / MS_PER_S) });
    rss.push({ x, y: after.rss });
    held.push({ x, y: after.held });
    platform.resetCounts();
    const beganMs = readMonotonicMs();
    const settings = { ...buildSettings(1, 1, platform.url), seeds: [first.meshAddress] };
    const second = await startNodeProcess(settings);
    await waitReady(second);
    startMs.push({ x, y: readMonotonicMs() - beganMs });
    startReads.push({ x, y: platform.getCounts().read ?? 0 });
    first.stop();
    second.stop();
    client.close();
    await platform.stop();
  }
  const per = 'accounts';
  return [
    { name: 'resident memory', unit: 'bytes', per, points: rss },
    { name: 'heap and buffers', unit: 'bytes', per, points: held },
    { name: 'time without requests', unit: 'us/s', per, points: cpu },
    { name: 'start beside another node', unit: 'ms', per, points: startMs },
    { name: 'platform reads of a start beside another node', unit: 'reads', per, points: startReads },
  ];
}

async function waitReady({ operatorsUrl }: NodeProcess): Promise<void> {
  const untilMs = readMonotonicMs() + LIMIT_MS;
  while (readMonotonicMs() < untilMs) {
    const answer = await fetch(`${operatorsUrl}/readyz`);
    if (answer.ok) return;
    await sleep(20);
  }
  throw new Error('the node has no configuration');
}
