import http from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { FakeEngine } from '@laburnumshift/fakes/engine';
import { LoadGroup, startFakeEngine } from '@laburnumshift/fakes/engine';
import { waitFor } from '@laburnumshift/test-utils';
import type { EngineOrder, EngineToken } from '@laburnumshift/types';

const FAST = { prefillTokensPerSecond: 1e6, decodeTokensPerSecond: 1e4, eventDelayMs: 1, pieceTokens: 10 };

async function callJson(url: string, method: string, body?: unknown): Promise<unknown> {
  const options = body === undefined ? { method } : { method, body: JSON.stringify(body) };
  return (await fetch(url, options)).json();
}

/** Runs a prompt of some pieces in a scope and returns the last token, or `undefined` when the engine was busy to the end. */
async function runPrompt(
  engine: FakeEngine,
  name: string,
  pieces: number,
  priority = 1,
): Promise<EngineToken | undefined> {
  const body = {
    model: 'model',
    prompt: name.repeat(10 * pieces),
    max_tokens: 1,
    stream: true,
    request_id: name,
    priority,
    cache_scope: 'scope',
    weight_version: engine.getLoad().weight_version,
    pieces: Array.from({ length: pieces }, (_, index) => ({ chain: `${name}${String(index)}`, tokens: 10 })),
    resume_offset: 0,
    imports: [],
    head_pieces: 0,
  };
  const answer = await fetch(`${engine.url}/v1/completions`, { method: 'POST', body: JSON.stringify(body) });
  const line = (await answer.text()).split('\n').find((text) => text.startsWith('data: {'));
  return line === undefined ? undefined : (JSON.parse(line.slice(6)) as EngineToken);
}

function buildOrder(version: string, fencing: number): EngineOrder {
  return { order_id: version, fencing, deadline: Date.now() + 60_000, type: 'load_weights', version };
}

// Guards against a cache without a bound, and against one that forgets the beginning of a prompt before its end.
test('the prefix cache evicts the end of the oldest prompt', async (t) => {
  const engine = await startFakeEngine({ ...FAST, pieceBytes: 100, cacheBytes: 500 });
  t.teardown(engine.close);
  await runPrompt(engine, 'a', 3);
  await runPrompt(engine, 'b', 3);
  t.deepEqual(
    engine.listCached().map(({ chain }) => chain),
    ['a1', 'a0', 'b2', 'b1', 'b0'],
  );
  t.is((await runPrompt(engine, 'a', 3))?.cached_pieces, 2);
  t.is(engine.getCounters().promptTokensCached, 20);
});

// Guards against urgent requests that wait behind bulk work for a slot.
test('a free slot goes to the most urgent request', async (t) => {
  const streamFaults = [{ kind: 'silent' as const, afterTokens: 0, streams: 1 }];
  const engine = await startFakeEngine({ ...FAST, slots: 1, faults: { streamFaults } });
  t.teardown(engine.close);
  const finished: string[] = [];
  const startRun = async (name: string, priority: number, waiting: number): Promise<void> => {
    const run = runPrompt(engine, name, 1, priority).catch(() => undefined);
    runs.push(run.then(() => finished.push(name)));
    await waitFor(name, () => engine.getLoad().running_tokens === waiting);
  };
  const runs: Promise<unknown>[] = [];
  await startRun('holder', 1, 1);
  await startRun('bulk', 2, 2);
  await startRun('urgent', 0, 3);
  await callJson(`${engine.url}/v1/cancel`, 'POST', { request_id: 'holder' });
  await Promise.all(runs);
  t.deepEqual(
    finished.filter((name) => name !== 'holder'),
    ['urgent', 'bulk'],
  );
});

// Guards against loads beside each other that look free, which would hide a rollout that loads too many engines.
test('loads in a group are counted and a refused weight store is asked again', async (t) => {
  const answers: number[] = [];
  const weights = http.createServer((request, response) => {
    answers.push(answers.length < 2 ? 429 : 200);
    response.writeHead(answers.at(-1) ?? 500, { 'retry-after-ms': '5' }).end(request.url);
  });
  await new Promise<void>((resolve) => weights.listen(0, '127.0.0.1', resolve));
  const platformUrl = `http://127.0.0.1:${String((weights.address() as AddressInfo).port)}`;
  const loadGroup = new LoadGroup();
  const options = { ...FAST, loadGroup, platformUrl, loadMs: 100 };
  const engines = await Promise.all([1, 2, 3].map(() => startFakeEngine(options)));
  t.teardown(async () => {
    await Promise.all(engines.map((engine) => engine.close()));
    weights.closeAllConnections();
    weights.close();
  });
  await Promise.all(engines.map(({ url }) => callJson(`${url}/orders`, 'POST', buildOrder('v2', 1))));
  await waitFor('all loaded', () => engines.every((engine) => engine.getLoad().weight_version === 'v2'));
  t.is(loadGroup.peak, 3);
  t.deepEqual(answers.slice(0, 3), [429, 429, 200]);
});

// Guards against a fake that hides what happens when an engine ignores fencing numbers.
test('an engine can ignore fencing', async (t) => {
  const engine = await startFakeEngine({ ...FAST, checksFencing: false, loadMs: 1 });
  t.teardown(engine.close);
  t.deepEqual(await callJson(`${engine.url}/orders`, 'POST', buildOrder('v2', 9)), {});
  t.deepEqual(await callJson(`${engine.url}/orders`, 'POST', buildOrder('v3', 1)), {});
  await waitFor('the stale order', () => engine.getLoad().weight_version === 'v3');
});

// Guards against switches that other processes cannot set, and against load reports that cannot stop.
test('faults and counters are reachable over HTTP', async (t) => {
  const engine = await startFakeEngine({ ...FAST, loadLagMs: 0 });
  t.teardown(engine.close);
  const before = (await callJson(`${engine.url}/load`, 'GET')) as { leaving: boolean };
  await callJson(`${engine.url}/faults`, 'PUT', { leaving: true, loadReports: 'frozen' });
  t.true(engine.getLoad().leaving);
  t.deepEqual(await callJson(`${engine.url}/load`, 'GET'), before);
  t.like(await callJson(`${engine.url}/counters`, 'GET'), { foreignAnswers: 0, crashes: 0 });
  const bootId = engine.getBootId();
  await callJson(`${engine.url}/faults`, 'PUT', { crashNow: true }).catch(() => undefined);
  await waitFor('restart', () => engine.getBootId() !== bootId);
  t.is(engine.getCounters().crashes, 1);
});
