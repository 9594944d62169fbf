import { Buffer } from 'node:buffer';
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

/** Stand-in of the platform's metadata store: objects by kind and name, watches, conditional writes. */
export class ObjectStore {
  #objects = new Map();
  #history = [];
  #revision = 10;
  #waiting = new Set();
  #server = http.createServer((request, response) => this.#receive(request, response));
  /** Returns 'answer', or how a call is treated instead: 'drop' (reset before it is carried out). */
  decide = () => 'answer';
  /** Called with each write of the system: method, path, body and status. */
  onWrite = () => undefined;

  async start(ip) {
    await new Promise((resolve) => this.#server.listen(0, ip, resolve));
    const { address, port } = this.#server.address();
    this.address = `${address}:${port}`;
    return this.address;
  }

  stop() {
    for (const waiting of this.#waiting) clearTimeout(waiting.timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object as the operator or an engine does. */
  write(kind, name, spec) {
    const known = this.#objects.get(`${kind}/${name}`);
    return this.#store(kind, { name, spec, status: known?.status ?? null, created: known?.created });
  }

  remove(kind, name) {
    const known = this.#objects.get(`${kind}/${name}`);
    if (known === undefined) return;
    this.#objects.delete(`${kind}/${name}`);
    this.#revision += 1;
    const object = { ...known, revision: this.#revision };
    this.#publish({ kind, revision: this.#revision, event: { removed: true, object: encode(object) } });
  }

  read(kind, name) {
    return this.#objects.get(`${kind}/${name}`);
  }

  #store(kind, { name, spec, status, created }) {
    this.#revision += 1;
    const object = { name, spec, status, revision: this.#revision, created: created ?? this.#revision };
    this.#objects.set(`${kind}/${name}`, object);
    this.#publish({ kind, revision: this.#revision, event: { removed: false, object: encode(object) } });
    return object;
  }

  #publish(change) {
    this.#history.push(change);
    for (const waiting of [...this.#waiting]) if (waiting.kind === change.kind) waiting.finish();
  }

  #receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url, 'http://store');
      const [, , kind, name, part] = url.pathname.split('/').map(decodeURIComponent);
      const text = Buffer.concat(chunks).toString();
      const call = { method: request.method, kind, name, part, query: url.searchParams };
      if (this.decide(call) === 'drop') {
        request.socket.destroy();
        return;
      }
      this.#handle(call, text === '' ? {} : JSON.parse(text), response);
    });
  }

  #reply(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  #handle({ method, kind, name, part, query }, body, response) {
    if (method === 'GET' && query.has('watch')) {
      this.#watch(kind, Number(query.get('watch')), Number(query.get('wait-ms') ?? 0), response);
      return;
    }
    if (method === 'GET' && name === undefined) {
      const after = query.get('after') ?? '';
      const items = [...this.#objects]
        .filter(([path, object]) => path.startsWith(`${kind}/`) && object.name > after)
        .map(([, object]) => encode(object))
        .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
      const page = cutPage(items);
      this.#reply(response, 200, { items: page, more: items.length > page.length, 'as-of': this.#revision });
      return;
    }
    const known = this.#objects.get(`${kind}/${name}`);
    if (method === 'GET') {
      this.#reply(response, known === undefined ? 404 : 200, known === undefined ? {} : encode(known));
      return;
    }
    const finish = (status, object) => {
      this.onWrite({ method, path: [kind, name, part].filter(Boolean).join('/'), body, status });
      this.#reply(response, status, object === undefined ? {} : encode(object));
    };
    if (method === 'POST') {
      const existing = this.#objects.get(`${kind}/${body.metadata.name}`);
      if (existing !== undefined) finish(409, existing);
      else finish(201, this.#store(kind, { name: body.metadata.name, spec: body.spec, status: null }));
      return;
    }
    if (known === undefined) {
      finish(404);
      return;
    }
    const condition = body.metadata?.revision ?? query.get('revision') ?? undefined;
    if (condition !== undefined && Number(condition) !== known.revision) {
      finish(409, known);
      return;
    }
    if (method === 'DELETE') {
      this.remove(kind, name);
      finish(200, known);
      return;
    }
    const changed = part === 'status' ? { ...known, status: body.status } : { ...known, spec: body.spec };
    const isSame = JSON.stringify(changed) === JSON.stringify(known);
    finish(200, isSame ? known : this.#store(kind, changed));
  }

  #watch(kind, since, waitMs, response) {
    const listEvents = () =>
      this.#history
        .filter((change) => change.kind === kind && change.revision > since)
        .map(({ event }) => event);
    const waiting = {
      kind,
      timer: undefined,
      finish: () => {
        clearTimeout(waiting.timer);
        this.#waiting.delete(waiting);
        this.#reply(response, 200, { events: listEvents(), 'as-of': this.#revision });
      },
    };
    if (listEvents().length > 0 || waitMs <= 0) {
      waiting.finish();
      return;
    }
    this.#waiting.add(waiting);
    waiting.timer = setTimeout(waiting.finish, Math.min(waitMs, 30_000));
    response.on('close', () => {
      clearTimeout(waiting.timer);
      this.#waiting.delete(waiting);
    });
  }
}

/** Returns the first objects of a list: at most 500, and no further ones from 1 MB on. */
function cutPage(items) {
  let bytes = 0;
  return items.slice(0, 500).filter((item) => {
    const isIncluded = bytes < 1_000_000;
    bytes += JSON.stringify(item).length;
    return isIncluded;
  });
}

function encode({ name, revision, created, spec, status }) {
  return { metadata: { name, revision, created, finalizers: [], deleting: false }, spec, status };
}
