import { Buffer } from 'node:buffer';
import http from 'node:http';
import { setTimeout } from 'node:timers';

const SEAL = '3e1b.07.5a2.600.0.c9f2a4d1';
/** Newest cache events that are kept, and most in one answer. */
const MAX_CACHE_EVENTS = 4000;
const MAX_EVENTS_PER_ANSWER = 100;

/** Stand-in of an engine, of a server of a plain service, or of a store of kept KV cache. */
export class Engine {
  #server = http.createServer({ maxHeaderSize: 262_144 }, (request, response) =>
    this.#receive(request, response),
  );
  #running = new Map();
  #parts = new Map();
  #cacheEvents = [];
  #lastEvent = 0;
  #keptTokens = 0;
  capacityTokens = 105_184;
  static byAddress = new Map();
  born = Date.now();
  leavesMs = undefined;
  sequence = 0;
  /** Answers that the engine has sent in whole. */
  answers = 0;
  /** Time that a call takes, milliseconds, and the number of its events where it is a stream. */
  workMs = 20;
  events = 3;
  /** Requests that began to run, in their order. */
  runs = [];
  /** Handles calls before the usual handlers do; returns true when it has handled one. */
  intercept = () => false;

  constructor(id, { service, zone = 'z1', models = undefined, slots = 8 }) {
    Object.assign(this, { id, service, zone, models, slots });
  }

  async start(ip, port = 0) {
    this.#server.maxHeadersCount = 0;
    await new Promise((resolve) => this.#server.listen(port, ip, resolve));
    const bound = this.#server.address();
    this.address = `${bound.address}:${bound.port}`;
    Engine.byAddress.set(this.address, this);
    return this.address;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** The entry that the engine writes into the platform's store. */
  describe(changes = {}) {
    const { service, address, zone, slots, models, sequence, born } = this;
    const entry = {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence,
      born,
    };
    return { ...entry, ...(models !== undefined && { stage: 'colocated', models }), ...changes };
  }

  countRunning() {
    return this.#running.size;
  }

  #receive(request, response) {
    response.on('finish', () => {
      this.answers += 1;
    });
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks);
      if (this.intercept({ request, response, body, engine: this })) return;
      this.#handle(request, response, body);
    });
  }

  reply(response, status, headers, body = '') {
    const bytes = Buffer.from(body);
    response.writeHead(status, { ...headers, 'content-length': bytes.length });
    response.end(bytes);
  }

  replyJson(response, status, value) {
    this.reply(response, status, { 'content-type': 'application/json' }, JSON.stringify(value));
  }

  report() {
    const runs = [...this.#running].map(([id, { made }]) => [id, 100, made, 5]);
    return {
      born: this.born,
      stage: 'colocated',
      models: this.models ?? [],
      busy: false,
      sequence: 0,
      queued: 0,
      running: runs.length,
      'kv-used': 0,
      'kv-total': 100_000,
      handles: 0,
      state: 'ready',
      runs,
      ...(this.leavesMs !== undefined && { leaves_ms: this.leavesMs }),
    };
  }

  #handle(request, response, body) {
    const url = new URL(request.url, 'http://engine');
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.reply(response, 421, { 'Instance-Id': this.id, 'Not-Executed': '1' });
      return;
    }
    if (url.pathname === '/report') this.replyJson(response, 200, this.report());
    else if (url.pathname === '/kv-events') this.#sendCacheEvents(request, response, url);
    else if (url.pathname === '/kv-list')
      this.replyJson(response, 200, { 'boot-epoch': this.born, next: 1, held: [] });
    else if (url.pathname === '/healthz') this.reply(response, 200, { 'Instance-Id': this.id });
    else if (request.headers['attempt-id'] === undefined) this.reply(response, 400, { 'Not-Executed': '1' });
    else this.run(request, response, body);
  }

  /** Keeps a part of a prompt and tells of it in the cache events. An engine drops the oldest parts, a store has no room for more. */
  keepPart(salt, id, tokens, model) {
    const key = `${salt} ${id}`;
    if (this.#parts.has(key)) return;
    if (this.models === undefined && this.#keptTokens + tokens > this.capacityTokens) return;
    this.#parts.set(key, { salt, id, tokens, model });
    this.#keptTokens += tokens;
    this.#addCacheEvent('+', salt, id, tokens, model);
    while (this.#keptTokens > this.capacityTokens) {
      const [[oldest, part]] = this.#parts;
      this.#parts.delete(oldest);
      this.#keptTokens -= part.tokens;
      this.#addCacheEvent('-', part.salt, part.id, 0, part.model);
    }
  }

  #addCacheEvent(...event) {
    this.#lastEvent += 1;
    this.#cacheEvents.push([this.#lastEvent, ...event]);
    if (this.#cacheEvents.length > MAX_CACHE_EVENTS) this.#cacheEvents.shift();
  }

  #sendCacheEvents(request, response, url) {
    const since = Number(url.searchParams.get('since') ?? 0);
    const send = () => {
      const events = this.#cacheEvents.filter(([number]) => number > since).slice(0, MAX_EVENTS_PER_ANSWER);
      const lost = since > 0 && (this.#cacheEvents[0]?.[0] ?? 0) > since + 1;
      const next = events.at(-1)?.[0] ?? this.#lastEvent;
      this.replyJson(response, 200, { 'boot-epoch': this.born, next, lost, events, clock_ms: Date.now() });
    };
    const waitMs = Math.min(1000, Number(request.headers['wait-ms'] ?? 0));
    if (since === 0 || this.#lastEvent > since) send();
    else setTimeout(send, waitMs);
  }

  /** Keeps the parts of a prompt, here and in the stores that the request names. */
  #keepPrompt({ headers }) {
    const salt = headers['cache-salt'] ?? '';
    const targets = (headers['kv-save'] ?? '').split(',');
    for (const [index, part] of (headers['prompt-prefix'] ?? '').split(',').entries()) {
      const [id, tokens] = part.split(':');
      this.keepPart(salt, id, Number(tokens), headers.model);
      const target = targets.length > 1 ? targets[index] : targets[0];
      Engine.byAddress.get(target)?.keepPart(salt, id, Number(tokens), headers.model);
    }
  }

  headers(id) {
    const headers = { 'Attempt-Id': id, 'Response-Seal': SEAL };
    const load = `${this.#running.size},0,${this.slots}`;
    const [model] = this.models ?? [];
    return { ...headers, 'Server-Load': load, ...(model && { 'Weight-Versions': String(model.version) }) };
  }

  /** Runs a request: a stream where the engine has models, else an answer with a length. */
  run(request, response, body) {
    const id = request.headers['attempt-id'];
    const run = { made: 0 };
    this.#running.set(id, run);
    this.runs.push({ id, at: Date.now(), method: request.method, url: request.url, bytes: body.length });
    const finish = () => this.#running.delete(id);
    response.on('close', finish);
    if (this.models === undefined) {
      setTimeout(() => {
        if (!response.destroyed) this.reply(response, 200, this.headers(id), `answer to ${id}\n`);
      }, this.workMs);
      return;
    }
    response.writeHead(200, { ...this.headers(id), 'content-type': 'text/event-stream' });
    this.#keepPrompt(request);
    const first = Number(request.headers['last-event-id'] ?? 0);
    const send = () => {
      if (response.destroyed) return;
      run.made += 1;
      response.write(`id: ${first + run.made}\ndata: token ${first + run.made}\n\n`);
      if (first + run.made >= this.events) response.end();
      else setTimeout(send, this.workMs);
    };
    setTimeout(send, this.workMs);
  }
}
