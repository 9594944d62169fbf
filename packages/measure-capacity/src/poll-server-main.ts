import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { POLL_ANSWERS } from './poll-answers.js';

const texts = new Map(Object.entries(POLL_ANSWERS).map(([path, body]) => [path, JSON.stringify(body)]));
const sockets = new Set<Socket>();
const server = createServer((request, response) => {
  const text = texts.get(request.url ?? '');
  request.resume();
  response.writeHead(text === undefined ? 404 : 200, {
    'content-type': 'application/json',
    'x-boot-id': 'boot',
  });
  response.end(text ?? '{}');
});
server.on('connection', (socket: Socket) => sockets.add(socket));
server.listen(0, '127.0.0.1', () => {
  process.send?.({ port: (server.address() as AddressInfo).port });
});
// Any message asks for the bytes of all connections so far, both directions.
process.on('message', () => {
  const bytes = [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
  process.send?.({ bytes });
});
process.on('disconnect', () => {
  process.exit();
});
