import { createNodeMesh } from '@laburnumshift/call-node';
import { sleep } from '@laburnumshift/clock';
import type { NodeMesh } from '@laburnumshift/types';
import { buildPlaceRequest } from './build-place-request.js';
import { measureHeap } from './measure-heap.js';
import type { Point } from './point.js';
import type { Series } from './series.js';
import { measureProcessorTime } from './measure-processor-time.js';

const LINKS = [2, 8, 32, 128];
const PIECES = [8, 32, 128];
const WATCH_MS = 4000;
const CALL_MS = 2000;
const SECRET = 'a secret of the measurement';
/** Idle links stay open for the whole measurement. */
const LIMITS = { idleTimeoutMs: 60_000 };

/** Measures links over real sockets. Both ends are in this process, so a link counts for its two ends together. */
export async function measureLinks(): Promise<readonly Series[]> {
  const beats: Point[] = [];
  const memory: Point[] = [];
  for (const x of LINKS) {
    const hub = await createMesh();
    const peers = await Promise.all(Array.from({ length: x }, createMesh));
    const openAll = (): Promise<unknown> =>
      Promise.all(
        peers.map(async (peer) => {
          const reply = await hub.callNode(peer.getAddress(), 'status', null, CALL_MS);
          if (!reply.ok) throw new Error('a link cannot be opened');
        }),
      );
    const heap = await measureHeap(openAll);
    let best = Infinity;
    for (let round = 0; round < 2; round += 1) {
      const start = process.cpuUsage();
      await sleep(WATCH_MS / 2);
      const { user, system } = process.cpuUsage(start);
      best = Math.min(best, ((user + system) * 1000) / (WATCH_MS / 2));
    }
    beats.push({ x, y: best });
    memory.push({ x, y: heap });
    await Promise.all([hub, ...peers].map((mesh) => mesh.close()));
  }
  const calls: Point[] = [];
  const [from, to] = await Promise.all([createMesh(), createMesh()]);
  for (const x of PIECES) {
    const request = buildPlaceRequest('p1', x);
    const y = await measureProcessorTime(400, () =>
      from.callNode(to.getAddress(), 'place', request, CALL_MS),
    );
    calls.push({ x, y });
  }
  await Promise.all([from.close(), to.close()]);
  return [
    { name: 'idle links, both ends', unit: 'us/s', per: 'links', points: beats },
    { name: 'memory of links, both ends', unit: 'bytes', per: 'links', points: memory },
    { name: 'one call, both ends', unit: 'us', per: 'pieces', points: calls },
  ];
}

async function createMesh(): Promise<NodeMesh> {
  const mesh = await createNodeMesh({ listen: '127.0.0.1:0', secret: SECRET, limits: LIMITS });
  mesh.handleMessage('status', () => Promise.resolve({}));
  mesh.handleMessage('place', () =>
    Promise.resolve({ kind: 'refused', code: 'no_engine', retryAfterMs: 1000 }),
  );
  return mesh;
}
