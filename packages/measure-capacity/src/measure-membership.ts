import { sleep } from '@laburnumshift/clock';
import { detectMembers } from '@laburnumshift/detect-members';
import type { Membership } from '@laburnumshift/types';
import { buildMembers } from './build-members.js';
import { createMemoryNet } from './create-memory-net.js';
import type { MemoryNet } from './memory-net.js';
import type { Point } from './point.js';
import type { Series } from './series.js';

/** Two members alone send each other less than the members of a larger cluster. */
const STEADY_SIZES = [8, 16, 32, 64];
const START_SIZES = [2, 8, 32, 128, 256];
const SETTLE_MS = 3000;
/** News of a start of all nodes circulates about this long for each member. */
const SETTLE_MEMBER_MS = 500;
const RUN_MS = 4000;
const MS_PER_S = 1000;

/**
 * Measures the failure detector of a node by members: in a steady cluster, and shortly after all nodes have started, while
 * the news of all members circulates. Messages are encoded but not sent.
 */
export async function measureMembership(seed: number): Promise<readonly Series[]> {
  const steady = await measureSizes(STEADY_SIZES, SETTLE_MEMBER_MS, seed);
  const start = await measureSizes(START_SIZES, 0, seed);
  const build = (when: string, points: Awaited<ReturnType<typeof measureSizes>>): Series[] => [
    { name: `${when}: time of a node`, unit: 'us/s', per: 'members', points: points.cpu },
    { name: `${when}: frames sent by a node`, unit: 'messages/s', per: 'members', points: points.messages },
    { name: `${when}: bytes sent by a node`, unit: 'bytes/s', per: 'members', points: points.bytes },
  ];
  return [...build('steady', steady), ...build('after a start of all', start)];
}

async function measureSizes(
  sizes: readonly number[],
  settleMemberMs: number,
  seed: number,
): Promise<{ readonly cpu: Point[]; readonly messages: Point[]; readonly bytes: Point[] }> {
  const points = { cpu: [] as Point[], messages: [] as Point[], bytes: [] as Point[] };
  const computeSum = (counts: ReadonlyMap<string, number>): number =>
    [...counts.values()].reduce((a, b) => a + b, 0);
  for (const size of sizes) {
    const net = createMemoryNet(true);
    const nodes = startNodes(size, net, seed);
    await sleep(SETTLE_MS + settleMemberMs * size);
    const messages = computeSum(net.getMessages());
    const bytes = computeSum(net.getBytes());
    const start = process.cpuUsage();
    await sleep(RUN_MS);
    const { user, system } = process.cpuUsage(start);
    const perNode = size * (RUN_MS / MS_PER_S);
    points.cpu.push({ x: size, y: (user + system) / perNode });
    points.messages.push({ x: size, y: (computeSum(net.getMessages()) - messages) / perNode });
    points.bytes.push({ x: size, y: (computeSum(net.getBytes()) - bytes) / perNode });
    for (const node of nodes) node.close();
  }
  return points;
}

function startNodes(size: number, net: MemoryNet, seed: number): Membership[] {
  const members = buildMembers(size);
  const hosts = members.map(({ host, failureDomain, address }) => ({
    host,
    failureDomain,
    address,
    kind: 'node' as const,
    state: 'live' as const,
  }));
  return members.map((self, i) =>
    detectMembers({
      self,
      mesh: net.createMesh(self.address),
      listHosts: () => Promise.resolve(hosts),
      seeds: hosts.map(({ address }) => address),
      randomSeed: seed + i,
    }),
  );
}
