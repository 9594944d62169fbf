import { createRunRegistry } from '@laburnumshift/attach-runs';
import { createQuarantine } from '@laburnumshift/quarantine-requests';
import { buildMembers } from './build-members.js';
import { buildMembership } from './build-membership.js';
import { createMemoryNet } from './create-memory-net.js';
import { createMemoryPlatform } from './create-memory-platform.js';
import { measureHeap } from './measure-heap.js';
import type { MemoryNet } from './memory-net.js';
import type { Point } from './point.js';
import type { Series } from './series.js';
import { measureProcessorTime } from './measure-processor-time.js';

const SIZES = [2, 8, 32, 128, 470];
const CLAIMS = [100, 1000, 10_000];
const CALLS = 500;

/** Measures what each request costs at the run registry and the quarantine, homes included, by members. */
export async function measureRegistry(): Promise<readonly Series[]> {
  const claims: Point[] = [];
  const checks: Point[] = [];
  for (const x of SIZES) {
    claims.push({ x, y: await measureProcessorTime(CALLS, createRunner(x, createMemoryNet(false))) });
    const quarantine = createChecker(x, createMemoryNet(false));
    checks.push({
      x,
      y: await measureProcessorTime(CALLS, (turn) =>
        quarantine.checkRequest(`fingerprint-${String(turn)}`, String(turn)),
      ),
    });
    quarantine.close();
  }
  const messages: Point[] = [];
  for (const x of SIZES) {
    const net = createMemoryNet(true);
    const run = createRunner(x, net);
    for (let i = 0; i < CALLS; i += 1) await run(i);
    const quarantine = createChecker(x, net);
    for (let i = 0; i < CALLS; i += 1) await quarantine.checkRequest(`fingerprint-${String(i)}`, String(i));
    quarantine.close();
    const count = [...net.getMessages().values()].reduce((sum, one) => sum + one, 0);
    messages.push({ x, y: count / CALLS });
  }
  const memory: Point[] = [];
  for (const x of CLAIMS) {
    memory.push({
      x,
      y: await measureHeap(async () => {
        const net = createMemoryNet(false);
        const run = createRunner(1, net);
        for (let i = 0; i < x; i += 1) await run(i);
        return { net, run };
      }),
    });
  }
  return [
    { name: 'register a run and read it', unit: 'us', per: 'members', points: claims },
    { name: 'check a request', unit: 'us', per: 'members', points: checks },
    { name: 'frames of a request, both duties', unit: 'messages', per: 'members', points: messages },
    { name: 'memory of registered runs', unit: 'bytes', per: 'runs', points: memory },
  ];
}

function createRunner(size: number, net: MemoryNet): (turn: number) => Promise<void> {
  const members = buildMembers(size);
  const registries = members.map((member, i) =>
    createRunRegistry({
      mesh: net.createMesh(member.address),
      membership: buildMembership([...members.slice(i), ...members.slice(0, i)]),
    }),
  );
  const registry = registries[0];
  return async (turn) => {
    const opening = {
      account: 'account-0123',
      requestId: `request-${String(turn)}`,
      hasCallerId: true,
      bodyHash: 'h'.repeat(43),
      startOffset: 0,
    };
    const run = registry?.attachRun(
      opening,
      (emit) => {
        emit('token', 'stop');
        return Promise.resolve({ kind: 'finished', reason: 'stop' });
      },
      new AbortController().signal,
    );
    for await (const item of run ?? []) if (item.kind === 'end') return;
  };
}

function createChecker(size: number, net: MemoryNet): ReturnType<typeof createQuarantine> {
  const members = buildMembers(size);
  const created = members.map((member, i) =>
    createQuarantine({
      mesh: net.createMesh(member.address),
      membership: buildMembership([...members.slice(i), ...members.slice(0, i)]),
      platform: createMemoryPlatform(),
    }),
  );
  const first = created[0];
  if (first === undefined) throw new Error('no member');
  for (const other of created.slice(1)) other.close();
  return first;
}
