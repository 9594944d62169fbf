import { Buffer } from 'node:buffer';
import path from 'node:path';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import {
  buildIp,
  buildPrompt,
  makeId,
  runCase,
  sendCall,
  sleep,
  startCell,
  TROUBLE,
} from '../lib-3/cell.mjs';
import { Engine } from '../lib-3/engine.mjs';

const EVENTS = 60;
const EVENT_MS = 100;
/** Time that the copies of the first run take, milliseconds: the other run finds no room until they are done. */
const FIRST_COPY_MS = 350;
const COPY_MS = 60;
/** Time from the answer to a stop until the stream of the first run is closed, milliseconds. */
const CLOSE_MS = 280;
/** Time for which the streams are preempted; a stream that goes on elsewhere no longer waits for it. */
const PREEMPTED_MS = 3000;
/** Short requests before the streams: the extra answer is one of the engine's many, as `garble` spoils at most 0.03 of them. */
const SHORT_REQUESTS = 60;
const models = [{ name: 'daka510000', version: 1, adapters: [] }];
const CALLERS = [
  { name: 'tenant-a', key: 'key-of-tenant-a' },
  { name: 'tenant-b', key: 'key-of-tenant-b' },
];

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (record) => {
  /** Runs by request id: the tenant whose memory a run has, and the events made so far. */
  const memories = new Map();
  const handles = new Map();
  const foreign = [];
  // Four engines, of which one repeats an answer (0.25), two of them in the zone of the host.
  const engines = [1, 2, 3, 4].map((n) => {
    const engine = new Engine(`i-${n}`, {
      service: 'huvo11a',
      models,
      slots: 64,
      zone: n <= 2 ? 'z1' : 'z2',
    });
    engine.ip = buildIp(n);
    return engine;
  });
  /** The engine that has both streams. */
  let source;
  /** The connection on which the engine stopped a run, and its answer. */
  let answered;
  let hasRepeated = false;
  /** The run that moves first. */
  let moving;

  const stream = (engine, request, response, id, run, from) => {
    response.writeHead(200, { ...engine.headers(id), 'content-type': 'text/event-stream' });
    run.response = response;
    const send = () => {
      if (response.destroyed || run.isStopped || run.response !== response) return;
      if (run.isPreempted) {
        setTimeout(send, EVENT_MS);
        return;
      }
      run.made += 1;
      if (run.made > from) response.write(`id: ${run.made}\ndata: ${run.tenant} token ${run.made}\n\n`);
      if (run.made >= EVENTS) response.end();
      else setTimeout(send, EVENT_MS);
    };
    setTimeout(send, EVENT_MS);
  };
  for (const engine of engines)
    engine.run = (request, response) => {
      const id = request.headers['attempt-id'];
      const kvFrom = request.headers['kv-from'];
      const { tenant } = request.headers;
      engine.runs.push({ id, at: Date.now() });
      if (kvFrom === undefined) {
        if (request.headers['token-counts'].endsWith(',2')) {
          engine.events = 2;
          Engine.prototype.run.call(engine, request, response, Buffer.alloc(1));
          return;
        }
        const run = { id, tenant, made: 0, response, engine };
        memories.set(id, run);
        record(`engine ${engine.id}: runs ${id} of ${tenant}`);
        stream(engine, request, response, id, run, 0);
        return;
      }
      const owner = handles.get(kvFrom.split('/')[1]);
      const last = Number(request.headers['last-event-id']);
      record(
        `engine ${engine.id}: ${id} of ${tenant} goes on after event ${last} from the memory of ${owner?.id} of ${owner?.tenant}`,
      );
      if (owner === undefined || owner.isUsed) {
        record(`engine ${engine.id}: refuses ${id}, the handle was used before`);
        engine.reply(response, 503, { 'Attempt-Id': id, 'Not-Executed': '1' });
        return;
      }
      owner.isUsed = true;
      if (owner.id !== id) foreign.push(id);
      stream(
        engine,
        request,
        response,
        id,
        { ...owner, isStopped: false, isPreempted: false, made: Math.min(owner.made, last) },
        last,
      );
    };
  const listRuns = (engine) =>
    [...memories.values()].filter((run) => run.engine === engine && !run.isStopped);
  for (const engine of engines) {
    const report = engine.report.bind(engine);
    engine.report = () => {
      const runs = listRuns(engine).map(({ id, made }) => [id, 100, made, 5]);
      return { ...report(), running: runs.length, runs };
    };
  }
  const handleMove = ({ request, response, body }) => {
    if (request.url !== '/kv-move') return false;
    const { id, last } = JSON.parse(body.toString());
    const run = memories.get(id);
    const { socket } = request;
    const isFirst = moving === undefined || moving === id;
    if (run === undefined || run.isStopped) {
      source.replyJson(response, 404, {});
      return true;
    }
    if (!isFirst && answered === undefined) {
      record(`engine ${source.id}: the other engine has no room for ${id} yet`);
      source.replyJson(response, 503, {});
      return true;
    }
    moving ??= id;
    const handle = `h${[...memories.keys()].indexOf(id) + 1}`;
    handles.set(handle, run);
    record(`engine ${source.id}: kv-move of ${id}, last=${last}`);
    if (last) run.isStopped = true;
    if (last && !isFirst) run.response.destroy();
    if (TROUBLE && last && answered?.socket === socket) {
      hasRepeated = true;
      record(
        `engine ${source.id}: late extra copy of its answer to the move of ${answered.id}, handle ${answered.handle}`,
      );
      socket.write(answered.bytes);
    }
    setTimeout(
      () => {
        const text = JSON.stringify({ handle, created: run.made });
        record(`engine ${source.id}: answers the move of ${id}, last=${last}, with handle ${handle}`);
        source.replyJson(response, 200, { handle, created: run.made });
        if (!last || !isFirst) return;
        const bytes = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
        answered = { socket, id, handle, bytes };
        setTimeout(() => run.response.destroy(), CLOSE_MS);
      },
      isFirst ? FIRST_COPY_MS : COPY_MS,
    );
    return true;
  };
  for (const engine of engines) engine.intercept = handleMove;
  const cell = await startCell({ servers: engines });
  const [host] = cell.hosts;
  const config = cell.store.read('config', 'main').spec;
  cell.store.write('config', 'main', {
    ...config,
    version: 2,
    tenants: CALLERS.map(({ name, key }) => ({ name, 'api-keys': [key], isolated: true })),
  });
  await sleep(1000);
  const send = (key, outputTokens) =>
    sendCall(host.front, {
      method: 'POST',
      path: '/guest/x',
      id: makeId(),
      headers: { ...buildPrompt([['5c1e07a2', 300]], outputTokens), Authorization: `Bearer ${key}` },
      body: 'x',
      deadlineMs: 15_000,
    });
  for (let n = 0; n < SHORT_REQUESTS; n += 1) await send(CALLERS[n % 2].key, 2);
  const answers = CALLERS.map(({ key }) => send(key, 400));
  await sleep(1000);
  const used = new Set([...memories.values()].map(({ engine }) => engine));
  [source] = used;
  if (memories.size !== 2 || used.size !== 1) throw new Error('the streams do not run at one engine');
  record(
    `engine ${source.id}: memory runs out after ${source.answers} answers, both streams are preempted and read in again`,
  );
  for (const run of memories.values()) run.isPreempted = true;
  setTimeout(() => {
    for (const run of memories.values()) run.isPreempted = false;
  }, PREEMPTED_MS);
  const got = await Promise.all(answers);
  for (const [n, { id, status, isWhole, body }] of got.entries()) {
    const owners = [...new Set([...body.matchAll(/data: (\S+) token/g)].map(([, owner]) => owner))];
    record(
      `client of ${CALLERS[n].name}: ${id} ${status}, whole=${isWhole}, tokens of ${owners.join(' and ')}`,
    );
  }
  const copies = `${hasRepeated ? 1 : 0} of ${source.answers} answers of engine ${source.id} was sent twice`;
  record(copies);
  await cell.stop();
  return {
    isBroken: foreign.length > 0,
    summary: `${foreign.length} requests went on from the memory of another one; ${copies}`,
  };
});
