import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { createPlatformClient } from '@laburnumshift/call-platform';
import test from 'ava';
import fc from 'fast-check';

const SEED = 20_264;
const RUNS = 60;
const body = fc.oneof(
  fc.json(),
  fc.string({ maxLength: 30 }),
  fc
    .record({
      version: fc.jsonValue(),
      revision: fc.jsonValue(),
      items: fc.jsonValue(),
      hosts: fc.jsonValue(),
      value: fc.jsonValue(),
    })
    .map((value) => JSON.stringify(value)),
  fc.constant('x'.repeat(100_000)),
);
const status = fc.constantFrom(
  '200 OK',
  '404 Not Found',
  '409 Conflict',
  '410 Gone',
  '413 Too Large',
  '418 Teapot',
  '7 x',
  '',
);
const READ_KINDS = ['found', 'absent', 'unavailable'];
const WRITE_KINDS = ['written', 'conflict', 'too-large', 'unavailable', 'unknown'];

test('guards against a malformed answer that makes the client throw, hang or return an invalid result', async (t) => {
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
  const property = fc.asyncProperty(status, body, async (line, text) => {
    answer = `HTTP/1.1 ${line}\r\ncontent-length: ${String(Buffer.byteLength(text))}\r\nconnection: close\r\n\r\n${text}`;
    const client = createPlatformClient({
      url,
      writesPerSecond: 1e4,
      readsPerSecond: 1e4,
      attemptTimeoutMs: 100,
      deadlineMs: 100,
      seed: 1,
    });
    t.true(READ_KINDS.includes((await client.readObject('k', 'n', 'config')).kind));
    t.true(WRITE_KINDS.includes((await client.writeObject('k', 'n', {}, 0, 'c', 'config')).kind));
    const hosts = await client.listHosts();
    t.true(hosts === undefined || Array.isArray(hosts));
    client.close();
  });
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
});
