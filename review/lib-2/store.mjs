import http from 'node:http';
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';

/**
 * Stand-in of the platform's metadata store: lists, watches and conditional writes. `intercept` may take over a write; it receives
 * `{ method, kind, name, part, body, apply, send, drop }` and returns true when it has handled the call.
 */
export class Store {
  kinds = new Map();
  revision = 100;
  history = [];
  waiting = new Set();
  intercept = () => false;
  /** Returns true when the store turns a caller away with 503, by the name of the machine. */
  isTurnedAway = () => false;
  /** Returns true when the call gets no answer, by the name of the machine. */
  isSilentFor = () => false;

  servers = [];

  /** Opens a listener for one machine, so that the store can treat machines differently. Returns its address. */
  async open(machine, host = '127.0.0.1') {
    const server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.handle(request, response, Buffer.concat(chunks).toString(), machine));
    });
    server.keepAliveTimeout = 30_000;
    await new Promise((resolve) => server.listen(0, host, resolve));
    this.servers.push(server);
    return `${host}:${server.address().port}`;
  }

  async start() {
    this.address = await this.open(undefined);
  }

  stop() {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  find(kind, name) {
    return this.kinds.get(kind)?.get(name);
  }

  put(kind, name, { spec, status }) {
    const before = this.find(kind, name);
    const next = {
      spec: spec === undefined ? (before?.spec ?? null) : spec,
      status: status === undefined ? (before?.status ?? null) : status,
    };
    if (
      before !== undefined &&
      JSON.stringify(next) === JSON.stringify({ spec: before.spec, status: before.status })
    )
      return before;
    this.revision += 1;
    const metadata = {
      name,
      revision: this.revision,
      created: before?.metadata.created ?? this.revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, ...next };
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    this.kinds.get(kind).set(name, object);
    this.history.push({ kind, object, removed: false, revision: this.revision });
    this.notify();
    return object;
  }

  remove(kind, name) {
    const before = this.find(kind, name);
    if (before === undefined) return;
    this.kinds.get(kind).delete(name);
    this.revision += 1;
    const object = { ...before, metadata: { ...before.metadata, revision: this.revision } };
    this.history.push({ kind, object, removed: true, revision: this.revision });
    this.notify();
  }

  notify() {
    for (const wake of [...this.waiting]) wake();
  }

  handle(request, response, text, machine) {
    const url = new URL(request.url, 'http://store');
    const [, , kind = '', name, part] = url.pathname.split('/').map(decodeURIComponent);
    const send = (status, body) => {
      if (this.isSilentFor(machine)) return;
      const answer = body === undefined ? '' : JSON.stringify(body);
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(answer),
        'Store-Era': '1',
      });
      response.end(answer);
    };
    if (this.isSilentFor(machine)) return;
    if (this.isTurnedAway(machine)) {
      send(503, { error: 'busy' });
      return;
    }
    if (request.method === 'GET' && name === undefined) {
      if (!url.searchParams.has('watch')) {
        send(200, {
          items: [...(this.kinds.get(kind)?.values() ?? [])],
          more: false,
          'as-of': this.revision,
        });
        return;
      }
      this.watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait-ms')), send);
      return;
    }
    if (request.method === 'GET') {
      const object = this.find(kind, name);
      send(object === undefined ? 404 : 200, object);
      return;
    }
    const body = text === '' ? {} : JSON.parse(text);
    const target = name ?? body.metadata.name;
    /** Executes the write and returns its answer. */
    const apply = () => {
      const known = this.find(kind, target);
      const revision =
        body.metadata?.revision ??
        (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined);
      if (request.method === 'POST')
        return known === undefined
          ? [200, this.put(kind, target, { spec: body.spec, status: body.status ?? null })]
          : [409, known];
      if (known === undefined) return [404, undefined];
      if (revision !== undefined && revision !== known.metadata.revision) return [409, known];
      if (request.method === 'DELETE') {
        this.remove(kind, target);
        return [200, known];
      }
      if (part === 'status') return [200, this.put(kind, target, { status: body.status ?? null })];
      return [200, this.put(kind, target, { spec: body.spec })];
    };
    const call = {
      method: request.method,
      kind,
      name: target,
      part,
      body,
      machine,
    };
    if (this.intercept({ ...call, apply, send }) === true) return;
    send(...apply());
  }

  watch(kind, after, waitMs, send) {
    const untilMs = performance.now() + waitMs;
    const answer = () => {
      const events = this.history
        .filter((event) => event.kind === kind && event.revision > after)
        .map(({ object, removed }) => ({ object, removed }));
      if (events.length === 0 && performance.now() < untilMs) return false;
      this.waiting.delete(answer);
      clearTimeout(timer);
      send(200, { events, 'as-of': this.revision });
      return true;
    };
    const timer = setTimeout(answer, Math.max(1, waitMs + 1));
    if (!answer()) this.waiting.add(answer);
  }
}
