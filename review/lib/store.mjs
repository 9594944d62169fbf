/** Stand-in for the platform's store: objects by kind and name, lists, watches and conditional writes, as PROTOCOL.md describes them. */
import http from 'node:http';
import { Buffer } from 'node:buffer';
import { clearTimeout, setTimeout } from 'node:timers';
import { isDeepStrictEqual } from 'node:util';

/** Time of an answer, milliseconds, as in the sheet of the deployment. */
const ANSWER_MS = 4;

export async function startStore() {
  const kinds = new Map();
  const history = [];
  const waiting = new Set();
  let revision = 1;

  const find = (kind, name) => kinds.get(kind)?.get(name);
  const notify = () => {
    for (const wake of [...waiting]) wake();
  };
  const put = (kind, name, changes) => {
    const known = find(kind, name);
    const next = { spec: known?.spec ?? null, status: known?.status ?? null, ...changes };
    if (known && isDeepStrictEqual(next, { spec: known.spec, status: known.status })) return known;
    revision += 1;
    const metadata = { name, revision, created: known?.metadata.created ?? revision, finalizers: [] };
    const object = { metadata, ...next };
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    kinds.get(kind).set(name, object);
    history.push({ kind, object, removed: false });
    notify();
    return object;
  };
  const remove = (kind, name) => {
    const known = find(kind, name);
    if (!known) return;
    kinds.get(kind).delete(name);
    revision += 1;
    history.push({
      kind,
      object: { ...known, metadata: { ...known.metadata, revision } },
      removed: true,
    });
    notify();
  };
  const watch = (kind, after, untilMs, send, response) => {
    const events = history
      .filter((one) => one.kind === kind && one.object.metadata.revision > after)
      .map(({ object, removed }) => ({ object, removed }));
    const leftMs = untilMs - Date.now();
    if (after > revision) send(410);
    else if (events.length > 0 || leftMs <= 0) send(200, { events, 'as-of': revision });
    else {
      const wake = () => {
        waiting.delete(wake);
        clearTimeout(timer);
        watch(kind, after, untilMs, send, response);
      };
      const timer = setTimeout(wake, leftMs);
      waiting.add(wake);
      response.once('close', () => {
        waiting.delete(wake);
        clearTimeout(timer);
      });
    }
  };
  const handle = (request, response, text) => {
    const url = new URL(request.url, 'http://store');
    const [, , kind = '', name, part] = url.pathname.split('/').map(decodeURIComponent);
    const send = (status, answer) => {
      const body = answer === undefined ? '' : JSON.stringify(answer);
      setTimeout(() => {
        response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': '1' });
        response.end(body);
      }, ANSWER_MS);
    };
    if (request.method === 'GET' && name === undefined && url.searchParams.has('watch')) {
      const untilMs = Date.now() + Number(url.searchParams.get('wait-ms') ?? 0);
      watch(kind, Number(url.searchParams.get('watch')), untilMs, send, response);
      return;
    }
    if (request.method === 'GET' && name === undefined) {
      send(200, { items: [...(kinds.get(kind)?.values() ?? [])], more: false, 'as-of': revision });
      return;
    }
    const sent = text === '' ? undefined : JSON.parse(text);
    const known = find(kind, name ?? sent?.metadata.name);
    const wanted = sent?.metadata.revision ?? url.searchParams.get('revision') ?? undefined;
    if (request.method === 'POST') {
      if (known) send(409, known);
      else send(200, put(kind, sent.metadata.name, { spec: sent.spec ?? null }));
    } else if (!known) send(404);
    else if (request.method === 'GET') send(200, known);
    else if (wanted !== undefined && Number(wanted) !== known.metadata.revision) send(409, known);
    else if (request.method === 'DELETE') {
      remove(kind, name);
      send(200, known);
    } else if (part === 'status') send(200, put(kind, name, { status: sent.status ?? null }));
    else send(200, put(kind, name, { spec: sent.spec ?? null }));
  };
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => handle(request, response, Buffer.concat(chunks).toString()));
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    find,
    put,
    remove,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
