import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { DEFAULT_SERVICE_FAULTS } from './default-service-faults.js';
import type { FaultServer } from './fault-server.js';
import type { FaultServerOptions } from './fault-server-options.js';
import { readBody } from './read-body.js';
import { sendJson } from './send-json.js';
import { SERVICE_FAULTS_SCHEMA } from './service-faults-schema.js';
import type { ServiceFaults } from './service-faults.js';

/** Starts a server with fault switches, settable in process and by `PUT /faults` on both of its ports. */
export async function startFaultServer(options: FaultServerOptions): Promise<FaultServer> {
  const ip = options.ip ?? '127.0.0.1';
  const sockets = new Set<Socket>();
  const silent = new Set<Socket>();
  let faults = DEFAULT_SERVICE_FAULTS;
  let bootId = randomUUID();

  const handleFaults = async (body: string, response: ServerResponse): Promise<void> => {
    const parsed = SERVICE_FAULTS_SCHEMA.partial().safeParse(JSON.parse(body));
    if (!parsed.success) {
      sendJson(response, 400, { error: parsed.error.message }, bootId);
      return;
    }
    await setFaults(parsed.data as Partial<ServiceFaults>);
    sendJson(response, 200, faults, bootId);
  };
  const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request);
    if (request.method === 'PUT' && request.url === '/faults') {
      await handleFaults(body, response);
      return;
    }
    const startedBoot = bootId;
    const { socket } = request;
    if (silent.has(socket)) return;
    await options.handle(request, response, body, () => startedBoot === bootId && !silent.has(socket));
  };
  const serveRequest = (request: IncomingMessage, response: ServerResponse): void => {
    handleRequest(request, response).catch(() => request.socket.destroy());
  };
  const server = createServer(serveRequest);
  server.keepAliveTimeout = 0;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => {
      sockets.delete(socket);
      silent.delete(socket);
    });
  });
  const admin = createServer(serveRequest);
  const startListening = (on: typeof server, port: number): Promise<number> =>
    new Promise((resolve, reject) => {
      on.once('error', reject);
      on.listen(port, ip, () => {
        resolve((on.address() as AddressInfo).port);
      });
    });
  const port = await startListening(server, options.port ?? 0);
  const adminPort = await startListening(admin, 0);

  const setFaults = async (next: Partial<ServiceFaults>): Promise<void> => {
    const wasCrashed = faults.crashed;
    faults = { ...faults, ...next };
    if (faults.silenceOpen) {
      for (const socket of sockets) silent.add(socket);
      faults = { ...faults, silenceOpen: false };
    }
    if (faults.crashed && !wasCrashed) {
      bootId = randomUUID();
      for (const socket of sockets) socket.destroy();
    }
    const isUp = !faults.crashed && !faults.refuseConnections;
    if (!isUp && server.listening) server.close();
    if (isUp && !server.listening) await startListening(server, port);
  };

  return {
    url: `http://${ip}:${String(port)}`,
    adminUrl: `http://${ip}:${String(adminPort)}`,
    getBootId: () => bootId,
    getFaults: () => faults,
    setFaults,
    takeLost: (name) => {
      if (faults[name] === 0) return false;
      faults = { ...faults, [name]: faults[name] - 1 };
      return true;
    },
    close: async () => {
      for (const socket of sockets) socket.destroy();
      admin.closeAllConnections();
      await Promise.all(
        [server, admin].map(
          (one) =>
            new Promise<void>((resolve) => {
              one.close(() => {
                resolve();
              });
            }),
        ),
      );
    },
  };
}
