import http from 'node:http';
import net from 'node:net';
import { sleep } from '@laburnumshift/clock';
import { createByteBudget } from '@laburnumshift/collect-bytes';
import { createCostEstimator } from '@laburnumshift/estimate-cost';
import type { EdgeCodec } from '@laburnumshift/forward-types';
import { computeClientLimits, createConnectionGuard } from '@laburnumshift/limit-connections';
import { findFreePort } from '@laburnumshift/test-utils';
import test from 'ava';
import type { ForwarderDependencies } from '../src/forwarder-dependencies.js';
import { startForwardServer } from '../src/start-forward-server.js';

const ROUTE = {
  name: 'book',
  hostName: 'shop.example',
  pathPrefix: '/',
  kind: 'non-idempotent',
  timeoutMs: 1000,
  targetMs: 100,
  priority: 1,
  targets: [{ service: 'desk', weight: 1 }],
  maxAttempts: 1,
  isPublic: true,
  isResumable: false,
};
const CONFIG = {
  version: 1,
  routes: [ROUTE],
  services: new Map([['desk', { name: 'desk', maxConnections: 4 }]]),
  stores: [],
  limits: { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 },
};
const MEMORY = { bodies: createByteBudget(100_000), answers: createByteBudget(100_000) };
const MACHINE = { memoryBytes: 200_000_000, reservedDescriptors: undefined, clientMemoryBytes: undefined };
const buildGuardDeps = (maxDescriptors?: number) => ({
  connectionGuard: createConnectionGuard({
    limits: computeClientLimits({ ...MACHINE, maxDescriptors }),
    countServerConnections: () => ({ open: 0, max: 0 }),
    getIdleTimeoutMs: () => 1000,
  }),
  observeReadBytes: () => undefined,
});
const fail = (): never => {
  throw new TypeError('a part of the host failed');
};
const decodeCall = ({ method, target }: { method: string; target: string }) => ({
  id: 'call-1',
  method,
  target,
  hostName: 'shop.example',
  deadlineMs: 1000,
  forwardedHeaders: [],
});
const sendCall = (port: number): Promise<number> =>
  new Promise((resolve) => {
    const request = http.request({ host: '127.0.0.1', port, path: '/a', method: 'POST', agent: false });
    request.on('response', (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    request.on('error', () => {
      resolve(0);
    });
    request.end('a body');
  });

const FAILURES: Readonly<Record<string, Record<string, unknown>>> = {
  'placing it': { placer: { placeCall: () => Promise.reject(new TypeError('no candidates')) } },
  'reading the configuration': { fleet: { getConfig: fail } },
  'decoding it': { codec: { decodeCall: fail, encodeRefusal: () => [] } satisfies Partial<EdgeCodec> },
};
for (const [what, changes] of Object.entries(FAILURES)) {
  test(`a call is not left without an answer by an error of the host while ${what}`, async (t) => {
    const port = await findFreePort();
    const deps = {
      codec: { decodeCall, encodeRefusal: () => [] },
      fleet: { getConfig: () => CONFIG, getConfigAgeMs: () => 0 },
      bounds: { configApplyMs: 2000 },
      memory: MEMORY,
      ...buildGuardDeps(),
      ...buildGuardDeps(),
      resends: { recordCall: () => undefined },
      metrics: { addToCounter: () => undefined },
      quarantine: { checkCall: () => ({ kind: 'allowed' }) },
      costs: createCostEstimator(),
      pickRandom: () => 0,
      ...changes,
    };
    const server = await startForwardServer(
      `127.0.0.1:${String(port)}`,
      deps as unknown as ForwarderDependencies,
    );
    t.teardown(server.stopListening);
    t.is(await sendCall(port), 502);
    t.is(server.countCallsInFlight(), 0);
  });
}

test('a kept connection is not closed before the time that its last answer states', async (t) => {
  const port = await findFreePort();
  let idleTimeoutMs = 3000;
  const deps = {
    codec: { decodeCall, encodeRefusal: () => [] },
    fleet: {
      getConfig: () => ({ ...CONFIG, routes: [], limits: { ...CONFIG.limits, idleTimeoutMs } }),
      getConfigAgeMs: () => 0,
    },
    bounds: { configApplyMs: 2000 },
    memory: MEMORY,
    ...buildGuardDeps(),
    metrics: { addToCounter: () => undefined },
  };
  const server = await startForwardServer(
    `127.0.0.1:${String(port)}`,
    deps as unknown as ForwarderDependencies,
  );
  t.teardown(server.stopListening);
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  t.teardown(() => {
    agent.destroy();
  });
  const sendKept = (): Promise<{ readonly idleS: number; readonly isReused: boolean }> =>
    new Promise((resolve, reject) => {
      const request = http.request({ host: '127.0.0.1', port, path: '/a', agent });
      request.on('response', (response) => {
        response.resume();
        response.on('end', () => {
          const idleS = Number(/timeout=(\d+)/.exec(String(response.headers['keep-alive']))?.[1]);
          resolve({ idleS, isReused: request.reusedSocket });
        });
      });
      request.on('error', reject);
      request.end();
    });
  await sendKept();
  t.is((await sendKept()).idleS, 3);
  idleTimeoutMs = 500;
  const { idleS } = await sendKept();
  const waitedMs = 2200;
  await sleep(waitedMs);
  const { isReused } = await sendKept();
  t.true(isReused || idleS * 1000 < waitedMs, `closed although the last answer stated ${String(idleS)} s`);
});

const REQUEST = 'POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n';
test('a stop leaves no request of a pipelined pair and none of a fresh connection without an answer', async (t) => {
  const port = await findFreePort();
  const deps = {
    codec: { decodeCall, encodeRefusal: () => [] },
    fleet: { getConfig: () => CONFIG, getConfigAgeMs: () => 0 },
    bounds: { configApplyMs: 2000 },
    memory: MEMORY,
    ...buildGuardDeps(),
    resends: { recordCall: () => undefined },
    metrics: { addToCounter: () => undefined, recordDuration: () => undefined },
    quarantine: { checkCall: () => ({ kind: 'allowed' }) },
    costs: createCostEstimator(),
    placer: {
      placeCall: async () => {
        await sleep(300);
        return { kind: 'refuse', reason: 'no room', retryAfterMs: 100 };
      },
    },
    pickRandom: () => 0,
  };
  const server = await startForwardServer(
    `127.0.0.1:${String(port)}`,
    deps as unknown as ForwarderDependencies,
  );
  const openConnection = () => {
    const socket = net.connect(port, '127.0.0.1');
    const state = { socket, received: '' };
    socket.on('data', (bytes) => (state.received += bytes.toString()));
    t.teardown(() => {
      socket.destroy();
    });
    return state;
  };
  const countAnswers = ({ received }: { readonly received: string }): number =>
    received.split('HTTP/1.1 503').length - 1;
  const pipelined = openConnection();
  const fresh = openConnection();
  pipelined.socket.write(REQUEST + REQUEST);
  await sleep(100);
  server.startDraining();
  await server.stopListening();
  for (let round = 0; round < 12; round += 1) {
    await sleep(50);
    server.closeIdleConnections();
  }
  fresh.socket.write(REQUEST);
  await sleep(100);
  t.is(countAnswers(pipelined), 2);
  t.is(countAnswers(fresh), 1);
});
