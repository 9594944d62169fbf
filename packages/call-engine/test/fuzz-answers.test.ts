import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { createEngineClient } from '@laburnumshift/call-engine';
import test from 'ava';
import fc from 'fast-check';

const SEED = 20_263;
const RUNS = 150;
const REQUEST = {
  model: 'm',
  prompt: 'p',
  max_tokens: 3,
  stream: true as const,
  request_id: 'r',
  priority: 1,
  cache_scope: 's',
  weight_version: 'v1',
  pieces: [],
  resume_offset: 0,
  imports: [],
  head_pieces: 0,
};
const LIMITS = { firstTokenMs: 1_000, betweenTokensMs: 1_000 };
const text = fc.string({ maxLength: 30 });
const token = fc.record(
  {
    id: fc.constantFrom<unknown>('r', 'x', 7),
    weight_version: fc.constantFrom<unknown>('v1', 'v2', null),
    offset: fc.oneof(fc.nat(3), fc.jsonValue()),
    text: fc.oneof(text, fc.jsonValue()),
    cached_pieces: fc.constant(0),
    imported_pieces: fc.constant(0),
    computed_tokens: fc.constant(1),
    finish_reason: fc.constantFrom<unknown>(null, 'stop', 'length', 3),
    seq: fc.jsonValue(),
    scope: text,
    chain: text,
    type: fc.constantFrom('stored', 'evicted', 'x'),
  },
  { requiredKeys: ['id'] },
);
const line = fc.oneof(
  token.map((value) => `data: ${JSON.stringify(value)}\n\n`),
  fc.constantFrom('data: [DONE]\n\n', 'data: \n\n', ': note\n\n', 'data: {"id"'),
  text,
  fc.constant(`data: ${'x'.repeat(100_000)}`),
);
const head = fc.constantFrom(
  'HTTP/1.1 200 OK\r\nx-boot-id: b\r\ncontent-type: text/event-stream\r\n\r\n',
  'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nx-boot-id: b\r\n\r\n',
  'HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n',
  'HTTP/1.1 409 Conflict\r\n\r\n',
  'HTTP/1.1 503 Unavailable\r\nx-boot-id: b\r\n\r\n',
  'HTTP/9 nothing\r\n\r\n',
  '',
);

test('guards against a malformed answer that makes the client throw, hang or yield a token out of order', async (t) => {
  let answer = '';
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket.on('error', () => undefined));
    socket.once('data', () => socket.end(answer));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const url = `http://127.0.0.1:${String((server.address() as AddressInfo).port)}`;
  const property = fc.asyncProperty(head, fc.array(line, { maxLength: 6 }), async (first, lines) => {
    answer = first + lines.join('');
    const client = createEngineClient({ url });
    const { signal } = new AbortController();
    let next = 0;
    const kinds: string[] = [];
    for await (const item of client.streamCompletion(REQUEST, LIMITS, signal)) {
      kinds.push(item.kind);
      if (item.kind === 'token') t.is(item.token.offset, next++);
    }
    t.true(kinds.filter((kind) => kind === 'error').length <= 1);
    for await (const event of client.watchEvents(0, signal)) t.is(typeof event.seq, 'number');
    const results = [
      await client.readLoad(),
      await client.listPieces(),
      await client.exportPiece('s', 'c', url, 'disk', 1),
    ];
    for (const result of results) t.is(typeof result.ok, 'boolean');
    client.close();
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
});
