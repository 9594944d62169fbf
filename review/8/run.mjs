import { randomBytes } from 'node:crypto';
import http from 'node:http';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { runCase, hasTrouble, sleep, waitFor } from '../lib-2/case.mjs';
import { CacheWorld } from '../lib-2/cache.mjs';
import { buildConfig } from '../lib-2/config.mjs';
import { Engine } from '../lib-2/engine.mjs';
import { Host } from '../lib-2/hosts.mjs';
import { Store } from '../lib-2/store.mjs';

/** The store turns one of three machines away for this long; the site has up to 0.35 of them for 9 s. */
const TURNED_AWAY_MS = 8700;
const ROUNDS = 3;
const MAX_ROUND_MS = 9000;
/** Requests a second, and the shared parts that they ask for. */
const REQUESTS_PER_S = 60;
const SHARED_PARTS = 110;
const SHARED_TOKENS = 9122;

await runCase(path.dirname(new URL(import.meta.url).pathname), async ({ folder, record, onEnd }) => {
  const store = new Store();
  await store.start();
  onEnd(() => store.stop());
  const caches = ['cache-1', 'cache-2'].map(
    (id) => new Engine({ id, service: 'cache', store, isStore: true }),
  );
  for (const cache of caches) {
    cache.capacityTokens = 558_593;
    await cache.start();
    onEnd(() => cache.stop());
  }
  let isBroken = false;
  const world = new CacheWorld(caches, (fetch, now) => {
    if (fetch.endMs > fetch.untilMs) return;
    isBroken = true;
    record(
      `BROKEN: request ${fetch.id} at ${fetch.engine.id} fetches ${fetch.key} from ${fetch.store.id}: begun ${Math.round(now - fetch.startMs)} ms ago, ends in ${Math.round(fetch.endMs - now)} ms, and the part is freed now`,
    );
  });
  const serve = async (request, body, response, engine) => {
    const id = request.headers['attempt-id'];
    engine.runs.push(id);
    engine.running.set(id, { events: 0 });
    response.on('close', () => engine.running.delete(id));
    await world.readPrompt(engine, request);
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Attempt-Id': id,
      'Response-Seal': `seal-${id}`,
      'Weight-Versions': String(engine.version),
    });
    for (let event = 1; event <= 5; event += 1) {
      response.write(`id: ${event}\ndata: a\n\n`);
      await sleep(20);
    }
    response.end();
  };
  const engines = ['engine-1', 'engine-2', 'engine-3'].map(
    (id) => new Engine({ id, service: 'models', store, model: 'model-a', slots: 64, serve }),
  );
  for (const engine of engines) {
    await engine.start();
    onEnd(() => engine.stop());
  }
  const stores = caches.map(({ id, address, capacityTokens }) => ({
    id,
    address,
    zone: 'north',
    capacityTokens,
  }));
  store.put('config', 'main', { spec: buildConfig(1, {}, stores) });
  store.put('versions', 'model-a', { spec: { model: 'model-a', version: 1 } });
  for (const cache of caches) {
    const freePart = cache.freePart.bind(cache);
    cache.freePart = (key) => {
      lastFreed = { cache: cache.id, key, atMs: performance.now() };
      freePart(key);
    };
  }
  let lastFreed;

  const hosts = [];
  for (const name of ['front-1', 'front-2', 'front-3'])
    hosts.push(new Host({ name, storeAddress: await store.open(name), folder }));
  for (const host of hosts) {
    onEnd(() => host.signal('SIGKILL'));
    host.start();
  }
  for (const host of hosts) await host.waitReady();
  record('hosts are ready');

  const [turned, ...others] = hosts;
  let isTurnedAway = false;
  const agents = new Map(others.map((host) => [host, new http.Agent({ keepAlive: true })]));
  onEnd(() => agents.forEach((agent) => agent.destroy()));
  const statuses = new Map();
  let isOver = false;
  const sendRequest = (host) => {
    const [address, port] = host.front.split(':');
    const shared = `5c${String(Math.floor(Math.random() * SHARED_PARTS)).padStart(4, '0')}`;
    const headers = {
      Host: 'desk.example',
      'Attempt-Id': randomBytes(8).toString('hex'),
      Authorization: 'Bearer key-north',
      Model: 'model-a',
      'Token-Counts': `${SHARED_TOKENS + 200},76`,
      'Prompt-Prefix': `${shared}:${SHARED_TOKENS},${randomBytes(4).toString('hex')}:200`,
      'Deadline-Ms': '15000',
      'Content-Length': 2,
    };
    const request = http.request(
      { host: address, port, agent: agents.get(host), method: 'POST', path: '/answer/1', headers },
      (response) => {
        response.resume();
        response.on('close', () =>
          statuses.set(response.statusCode, (statuses.get(response.statusCode) ?? 0) + 1),
        );
      },
    );
    request.on('error', (error) => statuses.set(error.code, (statuses.get(error.code) ?? 0) + 1));
    request.end('{}');
  };
  const sendTraffic = async () => {
    for (let turn = 0; !isOver; turn += 1) {
      sendRequest(others[turn % others.length]);
      await sleep(1000 / REQUESTS_PER_S);
    }
  };
  void sendTraffic();
  onEnd(() => {
    isOver = true;
  });
  await sleep(6000);
  record(`parts: ${JSON.stringify(world.counts)}`);

  store.isTurnedAway = (machine) => isTurnedAway && machine === turned.name;
  for (let round = 1; round <= ROUNDS && !isBroken; round += 1) {
    record(`round ${round}: ${turned.name} gets SIGTERM`);
    turned.signal('SIGTERM');
    await turned.waitForExit(10_000);
    isTurnedAway = hasTrouble;
    turned.start(false);
    record(`${turned.name} starts again${hasTrouble ? ', and the store turns it away' : ''}`);
    await sleep(TURNED_AWAY_MS - 300);
    store.put('versions', 'model-a', { spec: { model: 'model-a', version: round + 1 } });
    const namedMs = performance.now();
    record(`version ${round + 1} is acknowledged`);
    await sleep(300);
    if (hasTrouble) record(`the store serves ${turned.name} again`);
    isTurnedAway = false;
    const before = world.counts.freedParts;
    await waitFor('freed parts', () => world.counts.freedParts > before, MAX_ROUND_MS).catch(() => undefined);
    const after = lastFreed === undefined ? undefined : lastFreed.atMs - namedMs;
    record(
      `parts freed: ${world.counts.freedParts - before}, ${Math.round(after)} ms after the version was named; ${JSON.stringify(world.counts)}`,
    );
    await waitFor('the engines', () => engines.every(({ version }) => version === round + 1), 20_000);
    await turned.waitReady();
    await sleep(5000);
  }
  record(`answers: ${JSON.stringify([...statuses])}`);
  return isBroken;
});
