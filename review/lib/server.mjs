/** Stand-ins for engines and plain servers. They answer 421 to requests that name another instance. */
import http from 'node:http';
import { Buffer } from 'node:buffer';
import { setTimeout } from 'node:timers';

/**
 * Starts a server.
 *
 * @param options `id`; `models` for an engine; `respond(call, response, helpers)` answers a request that is accepted
 */
export async function startServer({ id, models, respond, ip = '127.0.0.1' }) {
  const born = Date.now();
  const seal = (call) => ({
    'Attempt-Id': call.id,
    'Response-Seal': `seal.${id}.${call.id}`,
    ...(models && { 'Weight-Versions': String(models[0].version) }),
  });
  const state = {
    received: [],
    usedTokens: 0,
    reports: [],
    running: new Map(),
    queued: new Set(),
    sequence: 0,
    turns: new Map(),
  };
  const handle = (request, response, body) => {
    const url = new URL(request.url, 'http://server');
    const json = (status, answer) => {
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify({ born, ...answer }));
    };
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'Instance-Id': id, 'Not-Executed': '1' });
      response.end();
      return;
    }
    if (url.pathname === '/healthz') {
      response.writeHead(200, { 'Instance-Id': id });
      response.end();
      return;
    }
    if (models && url.pathname === '/report') {
      state.reports.push(Date.now());
      json(200, {
        stage: 'colocated',
        models,
        busy: false,
        sequence: state.sequence,
        queued: state.queued.size,
        running: state.running.size,
        runs: [...state.running].map(([call, events]) => [call, 100, events, 5]),
        'kv-used': state.usedTokens,
        'kv-total': 105_184,
        handles: 0,
        pinned: 0,
        held: 0,
        clock_ms: Date.now(),
      });
      return;
    }
    if (models && url.pathname === '/kv-events') {
      const events = (state.cacheEvents ?? []).filter(
        ([number]) => number > Number(url.searchParams.get('since') ?? 0),
      );
      const next = state.cacheEvents?.at(-1)?.[0] ?? 0;
      const answer = { 'boot-epoch': 1, next, lost: false, events, clock_ms: Date.now() };
      const waitMs = events.length > 0 ? 0 : Number(request.headers['wait-ms'] ?? 0);
      setTimeout(() => json(200, answer), waitMs);
      return;
    }
    const call = {
      id: request.headers['attempt-id'],
      method: request.method,
      target: request.url,
      headers: request.headers,
      body,
    };
    if (call.id === undefined) {
      response.writeHead(400, { 'Not-Executed': '1' });
      response.end();
      return;
    }
    const version = request.headers['expect-version'];
    if (models && version !== undefined && Number(version) !== models[0].version) {
      response.writeHead(421, { 'Attempt-Id': call.id, 'Not-Executed': '1' });
      response.end();
      return;
    }
    call.atMs = Date.now();
    state.received.push(call);
    state.running.set(call.id, 0);
    response.on('close', () => {
      state.running.delete(call.id);
      state.queued.delete(call.id);
    });
    respond(call, response, {
      seal: seal(call),
      setEvents: (count) => state.running.has(call.id) && state.running.set(call.id, count),
    });
  };
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => handle(request, response, Buffer.concat(chunks)));
  });
  server.keepAliveTimeout = 15_000;
  await new Promise((resolve) => server.listen(0, ip, resolve));
  const address = `${ip}:${server.address().port}`;
  return {
    id,
    address,
    state,
    entry: (service, zone) => ({
      service,
      address,
      zone,
      version: 'v1',
      slots: models ? 64 : 6,
      state: 'ready',
      'cold-remaining-ms': 0,
      born,
      sequence: 1,
      ...(models && { stage: 'colocated', models }),
    }),
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Answers like a sound plain server, after `workMs`. */
export const respondPlain =
  (workMs = 20) =>
  (call, response, { seal }) => {
    setTimeout(() => {
      response.writeHead(200, seal);
      response.end(`done ${call.id}\n`);
    }, workMs);
  };

/** The text of one event of a stream. */
export const event = (number) => `id: ${number}\ndata: piece ${number}\n\n`;
