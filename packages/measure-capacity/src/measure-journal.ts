import { randomUUID } from 'node:crypto';
import { createPlatformClient } from '@laburnumshift/call-platform';
import { readWallMs } from '@laburnumshift/clock';
import { startFakePlatform } from '@laburnumshift/fakes/platform';
import { createCallJournal } from '@laburnumshift/journal-calls';
import type { CallJournal, PlatformClient } from '@laburnumshift/types';
import { buildMembers } from './build-members.js';
import { buildMembership } from './build-membership.js';
import { createMemoryNet } from './create-memory-net.js';
import { createMemoryPlatform } from './create-memory-platform.js';
import { measureHeap } from './measure-heap.js';
import type { Point } from './point.js';
import type { Series } from './series.js';
import { measureProcessorTime } from './measure-processor-time.js';

const CALLS = [10, 100, 1000];
const ENTRIES = [100, 1000, 5000];
/** Calls that a batch of the time measurement carries. */
const BATCH = 20;

/** Measures the home of journal shards: time and memory of calls, and writes at the platform for calls that come together. */
export async function measureJournal(): Promise<readonly Series[]> {
  const journal = createJournal(createMemoryPlatform(), 0);
  const us = await measureProcessorTime(20, () => runCalls(journal, BATCH));
  await journal.close();
  const memory: Point[] = [];
  for (const x of ENTRIES) {
    const y = await measureHeap(async () => {
      const held = createJournal(createMemoryPlatform(), 0);
      for (let i = 0; i < x; i += 100) await runCalls(held, 100);
      return held;
    });
    memory.push({ x, y });
  }
  const writes: Point[] = [];
  const reads: Point[] = [];
  for (const x of CALLS) {
    const platform = await startFakePlatform();
    const client = createPlatformClient({ url: platform.url, writesPerSecond: 400, readsPerSecond: 2000 });
    const counted = createJournal(client, 80);
    await runCalls(counted, x);
    const { write = 0, read = 0 } = platform.getCounts();
    writes.push({ x, y: write });
    reads.push({ x, y: read });
    await counted.close();
    client.close();
    await platform.stop();
  }
  return [
    { name: 'begin and finish a call', unit: 'us', per: 'calls', points: [{ x: 1, y: us / BATCH }] },
    { name: 'memory of finished calls with the fake', unit: 'bytes', per: 'calls', points: memory },
    { name: 'platform writes for calls at once', unit: 'writes', per: 'calls', points: writes },
    { name: 'platform reads for calls at once', unit: 'reads', per: 'calls', points: reads },
  ];
}

function createJournal(platform: PlatformClient, minWriteIntervalMs: number): CallJournal {
  const mesh = createMemoryNet(false).createMesh('10.20.0.0:7100');
  const membership = buildMembership(buildMembers(1));
  return createCallJournal({
    platform,
    mesh,
    membership,
    shards: 1,
    retentionMs: 7_200_000,
    minWriteIntervalMs,
  });
}

async function runCalls(journal: CallJournal, count: number): Promise<void> {
  const runOne = async (): Promise<void> => {
    const call = { account: 'account-0123', service: 'service-0123', key: randomUUID() };
    const attemptId = randomUUID();
    const decision = await journal.beginCall({
      ...call,
      bodyHash: 'h'.repeat(43),
      attemptId,
      node: 'entry-0000',
      incarnation: 1_790_000_000_000,
      system: 'own',
      issuedAtMs: readWallMs(),
      waitMs: 0,
    });
    if (decision.kind !== 'run') throw new Error(`not permitted: ${decision.kind}`);
    const answer = { status: 200, headers: { 'content-type': 'application/json' }, body: 'b'.repeat(200) };
    await journal.finishCall({ ...call, attemptId, answer });
  };
  await Promise.all(Array.from({ length: count }, runOne));
}
