import { runNode } from '@laburnumshift/run-node';
import { startFakePlatform } from '@laburnumshift/fakes/platform';
import { sleep } from '@laburnumshift/clock';
import { createPlatformClient } from '@laburnumshift/call-platform';
import { publishConfig } from '@laburnumshift/publish-config';
import { buildSettings } from './build-settings.js';
import { buildSegments } from './build-segments.js';
import type { Point } from './point.js';
import type { Series } from './series.js';

const SIZES = [2, 4, 8, 16];
const DOMAINS = 2;
const SETTLE_MS = 8000;
const RUN_MS = 15_000;
const MS_PER_S = 1000;
const TYPES = ['read', 'write', 'list', 'hosts'];

/**
 * Measures whole nodes without requests, in two failure domains, by nodes: calls at the platform and processor time. The
 * time is that of all nodes and the fake platform, divided by the nodes.
 */
export async function measureIdle(): Promise<readonly Series[]> {
  const calls = new Map<string, Point[]>(TYPES.map((type) => [type, []]));
  const watches: Point[] = [];
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  for (const size of SIZES) {
    const platform = await startFakePlatform();
    const client = createPlatformClient({ url: platform.url, writesPerSecond: 400, readsPerSecond: 2000 });
    const segments = [...buildSegments(10, 0).segments.values()];
    const published = await publishConfig(client, { segments, author: 'operator' });
    if (published.kind !== 'published') throw new Error(JSON.stringify(published).slice(0, 300));
    const nodes = await Promise.all(
      Array.from({ length: size }, (_, i) => runNode(buildSettings(i, DOMAINS, platform.url))),
    );
    const hosts = nodes.map(({ meshAddress }, i) => ({
      host: `entry-${String(i)}`,
      kind: 'node' as const,
      failureDomain: `domain-${String(i % DOMAINS)}`,
      state: 'live' as const,
      address: meshAddress,
    }));
    platform.setHosts(hosts);
    await sleep(SETTLE_MS);
    watches.push({ x: size, y: platform.getCounts().watch ?? 0 });
    platform.resetCounts();
    const sent = await countBytes(nodes[0]?.operatorsUrl ?? '');
    const start = process.cpuUsage();
    await sleep(RUN_MS);
    const { user, system } = process.cpuUsage(start);
    const counts = platform.getCounts();
    const seconds = RUN_MS / MS_PER_S;
    for (const [type, points] of calls) points.push({ x: size, y: (counts[type] ?? 0) / seconds });
    cpu.push({ x: size, y: (user + system) / seconds / size });
    bytes.push({ x: size, y: ((await countBytes(nodes[0]?.operatorsUrl ?? '')) - sent) / seconds });
    await Promise.all(nodes.map((node) => node.stop()));
    client.close();
    await platform.stop();
  }
  return [
    ...[...calls].map(([type, points]) => ({
      name: `platform ${type}`,
      unit: 'calls/s',
      per: 'nodes',
      points,
    })),
    { name: 'watches waiting at the platform', unit: 'calls', per: 'nodes', points: watches },
    { name: 'time of a node and its part of the fake', unit: 'us/s', per: 'nodes', points: cpu },
    { name: 'bytes sent to other nodes by a node', unit: 'bytes/s', per: 'nodes', points: bytes },
  ];
}

async function countBytes(operatorsUrl: string): Promise<number> {
  const answer = await fetch(`${operatorsUrl}/status`);
  const { nodes } = (await answer.json()) as { nodes: { mesh: Record<string, number> }[] };
  const entries = Object.entries(nodes[0]?.mesh ?? {});
  // Asking for the status is not part of the measurement.
  const counted = entries.filter(([name]) => name.startsWith('sent.') && name.endsWith('.bytes'));
  return counted.filter(([name]) => !name.includes('status')).reduce((sum, [, count]) => sum + count, 0);
}
