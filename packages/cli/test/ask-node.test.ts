import net, { type AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { askNode } from '../src/ask-node.js';

const LENGTH = 'Content-Length: 7\r\n\r\n{"a":1}';

/** Asks a node whose answer is the given bytes. */
const askFor = async (t: ExecutionContext, answer: string): ReturnType<typeof askNode> => {
  const server = net.createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => socket.end(answer, 'latin1'));
  });
  t.teardown(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  return askNode(`http://127.0.0.1:${String(port)}`, 'token', 'POST', '/status');
};

test('a sound answer of a node is read', async (t) => {
  const answer = await askFor(t, `HTTP/1.1 404 Not Found\r\n${LENGTH}`);
  t.deepEqual(answer, { kind: 'answered', status: 404, body: { a: 1 } });
});

for (const [name, bytes] of Object.entries({
  'a blank in a name': `HTTP/1.1 200 OK\r\nX Bad: 1\r\n${LENGTH}`,
  'an unknown transfer coding': `HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n\r\n{"a":1}`,
  'another version': `HTTP/2.0 200 OK\r\n${LENGTH}`,
  'status 600': `HTTP/1.1 600 OK\r\n${LENGTH}`,
  'a body that is cut off': `HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"a":1}`,
  'a body that is not JSON': `HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{`,
}))
  // Guards against output that an operator takes for a node's, of bytes that are no answer.
  test(`guards against an answer with ${name} that is taken for a node's`, async (t) => {
    t.is((await askFor(t, bytes)).kind, 'unreachable');
  });
