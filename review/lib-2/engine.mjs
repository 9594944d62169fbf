import http from 'node:http';
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

const LOAD_MS = 440;
/** Memory is given out by blocks. */
const BLOCK_TOKENS = 16;
/** Only the newest events are kept. */
const MAX_EVENTS = 3000;
const MAX_EVENTS_PER_READ = 100;

/**
 * Stand-in of an engine, sound unless a case sets a hook. It registers itself in the store and writes a heartbeat. `serve` answers the
 * requests of clients; it receives `(request, body, response, engine)`.
 */
export class Engine {
  runs = [];
  orders = [];
  arrivals = [];
  sequence = 0;
  busy = false;
  isLoading = false;
  beats = 0;
  state = 'ready';
  leaving = false;
  /** Cached parts, the least recently used first: blocks by salt and id. */
  parts = new Map();
  usedTokens = 0;
  capacityTokens = 105_155;
  events = [];
  eventNumber = 0;
  waitingReads = new Set();

  constructor({
    id,
    service,
    store,
    zone = 'north',
    model,
    version = 1,
    slots = 8,
    heartbeatMs = 1200,
    serve,
    log = () => undefined,
    isStore = false,
  }) {
    Object.assign(this, {
      id,
      service,
      store,
      zone,
      model,
      version,
      slots,
      heartbeatMs,
      serve,
      log,
      isStore,
    });
    this.running = new Map();
  }

  async start(host = '127.0.0.1', port = 0) {
    this.born = Date.now();
    this.server = http.createServer({ maxHeaderSize: 262_144 }, (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.handle(request, response, Buffer.concat(chunks)));
    });
    this.server.keepAliveTimeout = 15_000;
    await new Promise((resolve) => this.server.listen(port, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    this.register();
    this.timer = setInterval(() => this.register(), this.heartbeatMs);
  }

  entry() {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      'cold-remaining-ms': 0,
      born: this.born,
      ...(this.model !== undefined && {
        stage: 'colocated',
        models: [{ name: this.model, version: this.version, adapters: [] }],
      }),
      sequence: this.beats,
    };
  }

  addEvent(sign, key, tokens) {
    const [salt, id] = JSON.parse(key);
    this.eventNumber += 1;
    this.events.push([this.eventNumber, sign, salt, id, tokens, this.model]);
    if (this.events.length > MAX_EVENTS) this.events.shift();
    for (const wake of [...this.waitingReads]) wake();
  }

  /** Caches the parts of the prompt of a request, as an engine does that has read it. */
  cacheParts(request) {
    const salt = request.headers['cache-salt'] ?? '';
    for (const part of (request.headers['prompt-prefix'] ?? '').split(',')) {
      const [id, count] = part.split(':');
      const tokens = Number(count);
      const key = JSON.stringify([salt, id]);
      const size = Math.ceil(tokens / BLOCK_TOKENS) * BLOCK_TOKENS;
      const known = this.parts.get(key);
      this.parts.delete(key);
      this.parts.set(key, { tokens, size });
      if (known !== undefined) continue;
      this.usedTokens += size;
      this.addEvent('+', key, tokens);
      while (this.usedTokens > this.capacityTokens) {
        const [[oldest, { size: freed }]] = this.parts;
        this.parts.delete(oldest);
        this.usedTokens -= freed;
        this.addEvent('-', oldest, 0);
      }
    }
  }

  freePart(key) {
    const known = this.parts.get(key);
    if (known === undefined) return;
    this.parts.delete(key);
    this.usedTokens -= known.size;
    this.addEvent('-', key, 0);
  }

  readEvents(since, waitMs, response) {
    const untilMs = performance.now() + waitMs;
    const answer = () => {
      const events = this.events.filter(([number]) => number >= since).slice(0, MAX_EVENTS_PER_READ);
      if (events.length === 0 && performance.now() < untilMs) return;
      clearTimeout(timer);
      this.waitingReads.delete(answer);
      this.sendJson(response, 200, {
        'boot-epoch': this.born,
        born: this.born,
        next: (events.at(-1)?.[0] ?? this.eventNumber) + 1,
        lost: since > 0 && (this.events[0]?.[0] ?? 0) > since,
        clock_ms: Math.round(performance.now()),
        events,
      });
    };
    const timer = setTimeout(answer, waitMs + 1);
    this.waitingReads.add(answer);
    answer();
  }

  /** Writes the entry. The number of the heartbeat alone makes no change. */
  register() {
    if (this.isStore) return;
    this.beats += 1;
    const known = this.store.find('servers', this.id);
    const next = this.entry();
    if (
      known !== undefined &&
      JSON.stringify({ ...known.spec, sequence: 0 }) === JSON.stringify({ ...next, sequence: 0 })
    )
      return;
    this.store.put('servers', this.id, { spec: next });
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** A leaving engine says so in all its answers. */
  listNotices() {
    return this.state === 'draining' ? { 'Server-Leaving': '1' } : {};
  }

  sendJson(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      'Instance-Id': this.id,
      ...this.listNotices(),
    });
    response.end(text);
  }

  handle(request, response, body) {
    const url = new URL(request.url, 'http://engine');
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Instance-Id': this.id, 'Content-Length': 0, ...this.listNotices() });
      response.end();
      return;
    }
    if (url.pathname === '/report') {
      this.sendJson(response, 200, {
        stage: 'colocated',
        models: this.model === undefined ? [] : [{ name: this.model, version: this.version, adapters: [] }],
        busy: this.busy,
        sequence: this.sequence,
        queued: 0,
        running: this.running.size,
        'kv-used': 0,
        'kv-total': 100_000,
        handles: 0,
        born: this.born,
        runs: [...this.running].map(([id, run]) => [id, 100, run.events, 5]),
      });
      return;
    }
    if (url.pathname === '/order') {
      this.handleOrder(JSON.parse(body.toString()), response);
      return;
    }
    if (url.pathname === '/kv-events') {
      const waitMs = Math.min(1000, Number(request.headers['wait-ms'] ?? 0));
      this.readEvents(Number(url.searchParams.get('since') ?? 0), waitMs, response);
      return;
    }
    if (url.pathname === '/kv-list') {
      this.sendJson(response, 200, { 'boot-epoch': this.born, next: 1, held: [], born: this.born });
      return;
    }
    if (this.handleControl?.(request, url, body, response) === true) return;
    if (url.pathname === '/kv-free') {
      const { parts } = JSON.parse(body.toString());
      for (const part of parts) this.freePart(JSON.stringify(part));
      this.sendJson(response, 200, {});
      return;
    }
    if (url.pathname === '/healthz') {
      response.writeHead(this.state === 'draining' ? 503 : 200, {
        'Instance-Id': this.id,
        'Content-Length': 0,
        ...this.listNotices(),
      });
      response.end();
      return;
    }
    const id = request.headers['attempt-id'];
    const version = request.headers['expect-version'];
    if (version !== undefined && Number(version) !== this.version) {
      response.writeHead(421, { 'Instance-Id': this.id, 'Content-Length': 0, ...this.listNotices() });
      response.end();
      return;
    }
    if (this.isLoading) {
      response.writeHead(503, {
        'Attempt-Id': id,
        'Not-Executed': '1',
        'Content-Length': 0,
        ...this.listNotices(),
      });
      response.end();
      return;
    }
    this.arrivals.push({ id, atMs: Date.now() });
    this.serve(request, body, response, this);
  }

  handleOrder(order, response) {
    const atMs = Date.now();
    const record = {
      atMs,
      engine: this.id,
      holder: order.holder,
      fence: order['fence-token'],
      version: order.version,
      strategy: order.strategy,
      expected: order.expected,
    };
    const answer = (status) => {
      record.answer = status;
      this.orders.push(record);
      this.log(`order at ${this.id}: ${JSON.stringify(record)}`);
      this.sendJson(response, status, {});
    };
    if (order.holder === undefined || order['fence-token'] === undefined || order.operation !== 'version')
      return answer(400);
    if (order.version <= this.version) return answer(200);
    if (this.busy || (order.expected !== undefined && order.expected !== this.sequence)) return answer(409);
    this.sequence += 1;
    this.busy = true;
    // `block` lets the runs finish first; with `continue` they go on under the new version.
    const load = () => {
      if (order.strategy !== 'continue' && this.running.size > 0) {
        setTimeout(load, 20);
        return;
      }
      this.isLoading = true;
      setTimeout(() => {
        this.version = order.version;
        this.parts.clear();
        this.usedTokens = 0;
        this.busy = false;
        this.isLoading = false;
      }, LOAD_MS);
    };
    load();
    return answer(202);
  }
}
