import test from 'ava';
import fc from 'fast-check';
import { pack } from 'msgpackr';
import { WebSocket } from 'ws';
import { createNodeMesh } from '@laburnumshift/call-node';
import type { NodeMesh, NodeMessageType } from '@laburnumshift/types';
import { waitFor } from '@laburnumshift/test-utils';

const secret = 'a shared secret of nodes';
const TYPES: readonly NodeMessageType[] = [
  'place',
  'run-finished',
  'engine-failed',
  'share',
  'journal-begin',
  'journal-finish',
  'journal-abandon',
  'journal-unknown',
  'journal-look',
  'config-head',
  'config-get',
  'hosts',
  'suspect',
  'convict',
  'clear',
  'suspect-claim',
  'run-claim',
  'run-attach',
  'status',
  'explain',
];
/** Largest growth of the heap after all malformed frames, bytes. */
const MAX_HEAP_GROWTH = 64 * 1024 * 1024;
const openMesh = (): Promise<NodeMesh> => createNodeMesh({ listen: '127.0.0.1:0', secret });
const CALL = { account: 'a', service: 's', key: 'k' };
const ATTEMPT = { ...CALL, attemptId: 'x' };
const BEGIN = {
  ...ATTEMPT,
  bodyHash: 'h',
  node: 'n',
  incarnation: 1,
  system: 'own',
  issuedAtMs: 1,
  waitMs: 0,
};

test('guards against a handler that gets an invalid body and against a node that fails on one', async (t) => {
  const [a, b] = [await openMesh(), await openMesh()];
  let handled = 0;
  for (const type of TYPES) {
    b.handleMessage(type, (body: unknown) => {
      handled += 1;
      if (type !== 'status' && type !== 'hosts') t.is(typeof body, 'object');
      return Promise.resolve(null as never);
    });
  }
  const value = fc.anything({ withNullPrototype: false, maxDepth: 3 });
  const damaged = fc.record(
    { key: fc.constantFrom(...Object.keys(BEGIN)), value },
    { requiredKeys: ['key', 'value'] },
  );
  const body = fc.oneof(
    value,
    damaged.map((damage) => ({ ...BEGIN, [damage.key]: damage.value })),
  );
  const property = fc.asyncProperty(fc.constantFrom(...TYPES), body, async (type, sent) => {
    const reply = await a.callNode(b.getAddress(), type, sent, 5_000);
    return reply.ok || (reply.error.kind === 'refused' && reply.error.detail.includes('not valid'));
  });
  await fc.assert(property, { seed: 5_117, numRuns: 1_500 });
  const refused = b.getCounts()['bodies.refused'] ?? 0;
  t.log({ handled, refused });
  t.true(refused > 1_000);
  handled = 0;
  t.deepEqual(await a.callNode(b.getAddress(), 'journal-begin', BEGIN as never, 5_000), {
    ok: true,
    value: null,
  });
  t.deepEqual(await a.callNode(b.getAddress(), 'journal-unknown', ATTEMPT, 5_000), { ok: true, value: null });
  t.is(handled, 2);
  await Promise.all([a.close(), b.close()]);
});

test('guards against malformed frames that stop a node or make it allocate the lengths they declare', async (t) => {
  const [a, b] = [await openMesh(), await openMesh()];
  b.handleMessage('status', () => Promise.resolve('alive'));
  const startHeap = process.memoryUsage().heapUsed;
  const sendFrames = async (frames: readonly Uint8Array[]): Promise<void> => {
    const socket = new WebSocket(`ws://${b.getAddress()}`);
    socket.on('error', () => undefined);
    await new Promise((resolve) => socket.once('open', resolve));
    const closed = new Promise((resolve) => socket.once('close', resolve));
    for (const frame of frames) socket.send(frame);
    await closed;
  };
  const nested = fc.integer({ min: 1, max: 5_000 }).map((depth) => new Uint8Array(depth).fill(0x91));
  // MessagePack headers of a binary, an extension, a string, an array and a map with declared lengths of up to 4 Gi.
  const oversized = fc
    .tuple(
      fc.constantFrom(0xc6, 0xc9, 0xdb, 0xdd, 0xdf),
      fc.constantFrom(0xffffffff, 0x7fffffff, 0x01ffffff),
      fc.uint8Array({ maxLength: 8 }),
    )
    .map(([head, length, rest]) => {
      const bytes = Buffer.alloc(5);
      bytes.writeUInt8(head, 0);
      bytes.writeUInt32BE(length, 1);
      return new Uint8Array(Buffer.concat([bytes, rest]));
    });
  const extension = fc
    .tuple(fc.constantFrom(0xd4, 0xd5, 0xd6, 0xd7, 0xd8, 0xc7), fc.uint8Array({ maxLength: 24 }))
    .map(([head, rest]) => new Uint8Array([head, ...rest]));
  const framed = fc
    .record({
      id: fc.anything({ maxDepth: 1 }),
      type: fc.anything({ maxDepth: 1 }),
      body: fc.anything({ maxDepth: 2 }),
    })
    .map((frame) => new Uint8Array(pack(frame)));
  const frame = fc.oneof(fc.uint8Array({ maxLength: 200 }), nested, oversized, extension, framed);
  await fc.assert(fc.asyncProperty(fc.array(frame, { minLength: 1, maxLength: 4 }), sendFrames), {
    seed: 5_118,
    numRuns: 400,
  });
  await waitFor(
    'an answer of the node',
    async () => (await a.callNode(b.getAddress(), 'status', null, 5_000)).ok,
  );
  const grown = process.memoryUsage().heapUsed - startHeap;
  t.log({ badFrames: b.getCounts()['links.bad-frame'], grownMiB: Math.round(grown / 1024 / 1024) });
  t.true(grown < MAX_HEAP_GROWTH, String(grown));
  await Promise.all([a.close(), b.close()]);
});
