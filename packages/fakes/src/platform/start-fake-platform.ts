import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createFaultTable } from './create-fault-table.js';
import { createHostList } from './create-host-list.js';
import { createObjectHandlers } from './create-object-handlers.js';
import { createObjectStore } from './create-object-store.js';
import { createRateGate } from './create-rate-gate.js';
import type { FakePlatform } from './fake-platform.js';
import type { FakePlatformOptions } from './fake-platform-options.js';
import { FAULT_SCHEMA } from './fault-schema.js';
import { findCallType } from './find-call-type.js';
import { HOST_SCHEMA } from './host-schema.js';
import type { PlatformAnswer } from './platform-answer.js';
import type { PlatformCall } from './platform-call.js';
import type { PlatformFaults } from './platform-faults.js';
import { readCall } from './read-call.js';

const CONTROL_TYPES = new Set(['get-faults', 'set-faults', 'set-hosts', 'get-counts']);

/**
 * Starts the platform of section 4.1 on 127.0.0.1. Beyond that section it answers `GET /faults`, `PUT /faults` (the
 * switches to change), `PUT /hosts` (`{hosts, lagMs?}`) and `GET /counts`, which faults, limits and counts leave alone.
 */
export async function startFakePlatform(options: FakePlatformOptions = {}): Promise<FakePlatform> {
  const store = createObjectStore(options.historyLimit ?? 1000);
  const hosts = createHostList(options.hostLagMs ?? 0);
  const faults = createFaultTable();
  const readGate = createRateGate(options.readsPerSecond ?? 2000);
  const writeGate = createRateGate(options.writesPerSecond ?? 400);
  const weightGate = createRateGate(options.weightsPerSecond ?? 4);
  const gates: Readonly<Record<string, () => number>> = {
    write: writeGate,
    delete: writeGate,
    weights: weightGate,
  };
  const stopper = new AbortController();
  let counts: Record<string, number> = {};

  const countOne = (name: string): void => {
    counts[name] = (counts[name] ?? 0) + 1;
  };
  const setFaults = (changes: Partial<PlatformFaults>): void => {
    faults.setFaults(changes);
    hosts.setStale(faults.getFaults().staleHosts);
  };
  const reply = (status: number, body: unknown): Promise<PlatformAnswer> =>
    Promise.resolve({ kind: 'answer', status, body });

  const handlers: Readonly<Record<string, (call: PlatformCall) => Promise<PlatformAnswer>>> = {
    ...createObjectHandlers(store),
    hosts: () => reply(200, hosts.readHosts()),
    weights: () => reply(200, { sizeBytes: options.weightBytes ?? 1_000_000_000 }),
    'get-faults': () => reply(200, faults.getFaults()),
    'set-faults': (call) => {
      const parsed = FAULT_SCHEMA.safeParse(call.body);
      if (!parsed.success) return reply(400, { error: parsed.error.message });
      setFaults(parsed.data as Partial<PlatformFaults>);
      return reply(200, faults.getFaults());
    },
    'set-hosts': (call) => {
      const parsed = HOST_SCHEMA.safeParse(call.body);
      if (!parsed.success) return reply(400, { error: parsed.error.message });
      if (parsed.data.lagMs !== undefined) hosts.setLag(parsed.data.lagMs);
      hosts.setHosts(parsed.data.hosts);
      return reply(200, {});
    },
    'get-counts': () => reply(200, counts),
  };

  const handleCall = async (call: PlatformCall): Promise<PlatformAnswer> => {
    const type = findCallType(call);
    const handler = type === undefined ? undefined : handlers[type];
    if (type === undefined || handler === undefined) return reply(404, {});
    if (CONTROL_TYPES.has(type)) return handler(call);
    countOne(type);
    const replaced = await faults.applyBefore(type, call);
    if (replaced !== undefined) return replaced;
    const retryAfterMs = (gates[type] ?? readGate)();
    if (retryAfterMs > 0) return { kind: 'answer', status: 429, body: {}, retryAfterMs };
    return faults.applyAfter(type, call, await handler(call));
  };

  const serveCall = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const closed = new AbortController();
    response.on('close', () => {
      closed.abort();
    });
    const call = await readCall(request, AbortSignal.any([closed.signal, stopper.signal]));
    const answer = await handleCall(call);
    if (answer.kind === 'mute') return;
    if (answer.kind === 'lost') {
      request.socket.destroy();
      return;
    }
    if (!CONTROL_TYPES.has(findCallType(call) ?? '')) countOne(`status ${String(answer.status)}`);
    response.writeHead(answer.status, {
      'content-type': 'application/json',
      ...(answer.retryAfterMs === undefined ? {} : { 'retry-after-ms': String(answer.retryAfterMs) }),
    });
    response.end(JSON.stringify(answer.body));
  };

  const server = createServer((request, response) => {
    serveCall(request, response).catch(() => {
      request.socket.destroy();
    });
  });
  server.listen(options.port ?? 0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;

  return {
    url: `http://127.0.0.1:${String(port)}`,
    setFaults,
    getFaults: faults.getFaults,
    setHosts: hosts.setHosts,
    setHostLag: hosts.setLag,
    getCounts: () => counts,
    resetCounts: () => {
      counts = {};
    },
    getObject: (kind, name) => store.getObject(kind, name),
    listNames: (kind) => store.listObjects(kind, '', '').map((object) => object.name),
    stop: async () => {
      stopper.abort();
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
