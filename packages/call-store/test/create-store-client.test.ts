import test from 'ava';
import { createStoreClient } from '@laburnumshift/call-store';
import type { FakeStore, PointFault, StorePoint } from '@laburnumshift/fakes/store';
import { computeChecksum, startFakeStore } from '@laburnumshift/fakes/store';
import type { StoreClient } from '@laburnumshift/types';

/** Long enough that a busy machine does not end a correct call; only calls that get no answer need the shorter limits. */
const CALL_LIMIT_MS = 20_000;
const SILENT_LIMIT_MS = 150;
const RECOVERY_LIMIT_MS = 2_000;

async function writePiece(store: FakeStore, key: string, commits = true): Promise<void> {
  const url = `${store.url}/pieces/${encodeURIComponent(key)}`;
  const body = Buffer.from(`content of ${key}`);
  const put = await fetch(`${url}?tier=memory&size=1000`, { method: 'PUT', body });
  const { generation } = (await put.json()) as { generation: number };
  const commit = { generation, length: body.length, checksum: computeChecksum(body) };
  if (commits) await fetch(`${url}/commit`, { method: 'POST', body: JSON.stringify(commit) });
}

async function startPair(
  callTimeoutMs = CALL_LIMIT_MS,
): Promise<{ store: FakeStore; client: StoreClient; close: () => Promise<void> }> {
  const store = await startFakeStore({ name: 's1', memoryBytes: 2_500, diskBytes: 1_000 });
  const client = createStoreClient({ name: 's1', url: store.url, callTimeoutMs });
  const close = async (): Promise<void> => {
    client.close();
    await store.close();
  };
  return { store, client, close };
}

test('guards against a client that differs from the store protocol for pinning, moving, listing and deleting', async (t) => {
  const { store, client, close } = await startPair();
  t.teardown(close);
  await writePiece(store, 'a:1');
  await writePiece(store, 'a:2');
  const pinned = await client.pinPiece('a', '1', 5_000);
  t.like(pinned, { ok: true, value: { scope: 'a', chain: '1', store: 's1', tier: 'memory', bytes: 1_000 } });
  t.like(await client.deletePiece('a', '1'), { ok: false, error: { kind: 'rejected', status: 409 } });
  await client.unpinPiece('a', '1');
  t.like(await client.movePiece('a', '1', 'disk'), { ok: true, value: { tier: 'disk' } });
  t.like(await client.movePiece('a', '2', 'disk'), { ok: false, error: { kind: 'rejected', status: 507 } });
  t.like(await client.readStat(), { ok: true, value: { memoryUsed: 1_000, diskUsed: 1_000 } });
  const listed = await client.listPieces();
  t.deepEqual(listed.ok && listed.value.map((piece) => piece.chain), ['1', '2']);
  t.deepEqual(await client.deletePiece('a', '1'), { ok: true, value: true });
  t.deepEqual(await client.deletePiece('a', '1'), { ok: true, value: false });
  t.like(await client.pinPiece('a', '1', 5_000), { ok: false, error: { status: 404 } });
});

test('guards against a piece that can be read before its commit', async (t) => {
  const { store, client, close } = await startPair();
  t.teardown(close);
  await writePiece(store, 'a:1', false);
  t.like(await client.pinPiece('a', '1', 5_000), { ok: false, error: { status: 404 } });
  t.is(store.getStat().memoryUsed, 1_000);
});

const FAULTS: readonly (readonly [PointFault, string])[] = [
  ['cut', 'broken'],
  ['die', 'broken'],
  ['silent', 'silent'],
  ['error', 'rejected'],
  ['truncate', 'bad-answer'],
];

const CALLS: readonly (readonly [StorePoint, (client: StoreClient) => Promise<{ readonly ok: boolean }>])[] =
  [
    ['pin', (client) => client.pinPiece('a', '1', 1_000)],
    ['move', (client) => client.movePiece('a', '1', 'disk')],
    ['delete', (client) => client.deletePiece('a', '1')],
    ['list', (client) => client.listPieces()],
    ['stat', (client) => client.readStat()],
  ];

for (const [fault, kind] of FAULTS) {
  for (const [point, call] of CALLS) {
    test(`guards against a failure that looks like a value or an unsent call: ${fault} at ${point} is ${kind}`, async (t) => {
      const store = await startFakeStore({ name: 's1' });
      t.teardown(store.close);
      const limitMs = fault === 'silent' ? SILENT_LIMIT_MS : CALL_LIMIT_MS;
      const limits = { callTimeoutMs: limitMs, moveTimeoutMs: limitMs };
      const client = createStoreClient({ name: 's1', url: store.url, ...limits });
      await writePiece(store, 'a:1');
      store.setFaults({ points: { [point]: fault } });
      t.like(await call(client), { ok: false, error: { kind, sent: true } });
      client.close();
    });
  }
}

test('guards against a client that reuses silent connections or reports a call to a dead store as sent', async (t) => {
  const { store, client, close } = await startPair(RECOVERY_LIMIT_MS);
  t.teardown(close);
  t.true((await client.readStat()).ok);
  store.setFaults({ silenceOpen: true });
  t.like(await client.readStat(), { ok: false, error: { kind: 'silent' } });
  t.true((await client.readStat()).ok);
  store.setFaults({ dead: true });
  await client.readStat();
  t.like(await client.readStat(), { ok: false, error: { kind: 'unreachable', sent: false } });
});

test('guards against faults of the fake store that another process cannot set over HTTP', async (t) => {
  const store = await startFakeStore();
  t.teardown(store.close);
  const body = JSON.stringify({ full: true });
  await fetch(`${store.url}/faults`, { method: 'PUT', body });
  t.true(store.getFaults().full);
  const put = await fetch(`${store.url}/pieces/a%3A1?tier=memory&size=1`, { method: 'PUT', body: 'x' });
  t.is(put.status, 507);
});
