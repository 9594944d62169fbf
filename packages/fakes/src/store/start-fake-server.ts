import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { startTimer } from '@laburnumshift/clock';
import type { FakeServer } from './fake-server.js';

/** Pause before listening again when the port is still taken. */
const LISTEN_RETRY_MS = 20;

/** Idle connections stay open for long, so that only faults close them. */
const KEEP_ALIVE_MS = 600_000;

/**
 * Starts an HTTP server on the loopback interface whose connections can be cut, refused or silenced.
 *
 * @param port 0 takes a free port from the system
 */
export async function startFakeServer(
  port: number,
  handleRequest: (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>,
): Promise<FakeServer> {
  const sockets = new Set<Socket>();
  const silent = new WeakSet<Socket>();
  let refusing = false;
  let closed = false;
  const server = http.createServer((request, response) => {
    handleRequest(request, response).catch(() => {
      response.destroy();
    });
  });
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.requestTimeout = 0;
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {
      socket.destroy();
    });
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      server.off('error', reject);
      resolve();
    });
  });
  const actualPort = (server.address() as AddressInfo).port;
  const closeAll = (): void => {
    for (const socket of sockets) socket.destroy();
  };
  const openListener = (): void => {
    if (closed || refusing || server.listening) return;
    server.listen(actualPort, '127.0.0.1');
  };
  server.on('error', () => {
    startTimer(LISTEN_RETRY_MS, openListener);
  });
  return {
    url: `http://127.0.0.1:${String(actualPort)}`,
    port: actualPort,
    silenceOpen: () => {
      for (const socket of sockets) silent.add(socket);
    },
    isSilent: (response) =>
      response.socket === null || response.socket.destroyed || silent.has(response.socket),
    closeAll,
    setRefusing: (next) => {
      if (next === refusing) return;
      refusing = next;
      if (!next) {
        openListener();
        return;
      }
      // Listening starts again only after the close has finished.
      if (server.listening) server.close(openListener);
      closeAll();
    },
    close: async () => {
      closed = true;
      const done = new Promise<void>((resolve) => {
        if (server.listening)
          server.close(() => {
            resolve();
          });
        else resolve();
      });
      closeAll();
      await done;
    },
  };
}
