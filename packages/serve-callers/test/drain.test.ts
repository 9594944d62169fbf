import { once } from 'node:events';
import net from 'node:net';
import test from 'ava';
import { startServer } from './start-server.js';

// Guards against resetting a request that arrived while the event loop was busy, because its connection seemed idle when
// the drain closed the idle connections.
test('a request that arrives as the drain begins is answered', async (t) => {
  const server = await startServer();
  const { port } = new URL(`http://${server.address}`);
  const socket = net.connect(Number(port), '127.0.0.1');
  const request = 'GET /outcome/s/k HTTP/1.1\r\nhost: a\r\nauthorization: Bearer key-a\r\n\r\n';
  socket.write(request);
  const [first] = (await once(socket, 'data')) as [Buffer];
  t.true(first.toString().startsWith('HTTP/1.1 404'));
  socket.write(request);
  const drained = server.drain();
  const [second] = (await once(socket, 'data')) as [Buffer];
  t.true(second.toString().startsWith('HTTP/1.1 404'));
  await drained;
  await server.close();
});
