import test from 'ava';
import { createEngineClient } from '@laburnumshift/call-engine';
import type { FakeEngine, StreamFault } from '@laburnumshift/fakes/engine';
import { computeAnswer, startFakeEngine } from '@laburnumshift/fakes/engine';
import { waitFor } from '@laburnumshift/test-utils';
import { buildRequest } from './build-request.js';
import { collectItems } from './collect-items.js';

const FAST = { prefillTokensPerSecond: 1e6, decodeTokensPerSecond: 1e4, eventDelayMs: 1, pieceTokens: 10 };

async function runWithEngine(
  options: Parameters<typeof startFakeEngine>[0],
  body: (engine: FakeEngine) => Promise<void>,
): Promise<void> {
  const engine = await startFakeEngine({ ...FAST, ...options });
  try {
    await body(engine);
  } finally {
    await engine.close();
  }
}

test('guards against a wrong, short or non-deterministic answer and against a resumption at the wrong token', async (t) => {
  await runWithEngine({}, async (engine) => {
    const request = buildRequest();
    const whole = computeAnswer('model', request.prompt, 5);
    const first = await collectItems(engine.url, request);
    t.deepEqual([first.texts, first.last], [whole, { kind: 'done' }]);
    const second = await collectItems(engine.url, buildRequest({ request_id: 'r2', resume_offset: 2 }));
    t.deepEqual(second.texts, whole.slice(2));
    t.like(second.items[0], { token: { computed_tokens: 0, cached_pieces: 8 } });
    t.is(engine.getCounters().promptTokensComputed, 75);
  });
});

/** Fault of the stream, kind of the expected error, and number of valid tokens before it. */
const STREAM_FAULT_CASES: readonly (readonly [StreamFault['kind'], string, number])[] = [
  ['silent', 'silent', 2],
  ['crossed', 'bad-answer', 2],
  ['duplicated', 'bad-answer', 3],
  ['skipped', 'bad-answer', 2],
  ['truncated', 'broken', 2],
  ['early-done', 'bad-answer', 2],
  ['cut', 'broken', 2],
  ['wrong-version', 'bad-answer', 2],
];

for (const [kind, error, validTokens] of STREAM_FAULT_CASES) {
  // Faults include tokens of another request or version, repeated and missing tokens, and a short answer.
  test(`guards against a ${kind} stream that yields a wrong token or does not end with a ${error} error`, async (t) => {
    await runWithEngine({}, async (engine) => {
      engine.setFaults({ streamFaults: [{ kind, afterTokens: 2, streams: 1 }] });
      const request = buildRequest();
      const betweenTokensMs = kind === 'silent' ? 1_000 : 20_000;
      const limits = { firstTokenMs: 20_000, betweenTokensMs };
      const { texts, last } = await collectItems(engine.url, request, undefined, limits);
      t.deepEqual(texts, computeAnswer('model', request.prompt, validTokens));
      t.like(last, { kind: 'error', error: { kind: error, sent: true } });
      t.like(await collectItems(engine.url, request), { last: { kind: 'done' } });
    });
  });
}

// The outcome "not run" that a caller gets relies on the `sent` flag.
test('guards against a refusal with the wrong kind of error or a wrong `sent` flag', async (t) => {
  await runWithEngine({}, async (engine) => {
    const mismatch = await collectItems(engine.url, buildRequest({ weight_version: 'v0' }));
    t.like(mismatch.last, { error: { kind: 'version-mismatch', actual: 'v1' } });
    engine.setFaults({ leaving: true });
    t.like((await collectItems(engine.url, buildRequest())).last, { error: { kind: 'leaving' } });
    engine.setFaults({ refuse: true });
    const refused = await collectItems(engine.url, buildRequest());
    t.like(refused.last, { error: { kind: 'unreachable', sent: false } });
    t.deepEqual(engine.getCounters().runs, {});
  });
});

test('guards against a crash that is not reported and against a cache or boot id that survives it', async (t) => {
  await runWithEngine({ restartMs: 50, faults: { crashMarker: 'poison' } }, async (engine) => {
    await collectItems(engine.url, buildRequest());
    const bootId = engine.getBootId();
    const crashed = await collectItems(engine.url, buildRequest({ prompt: 'a poison prompt' }));
    t.like(crashed.last, { error: { kind: 'broken', sent: true } });
    await waitFor('restart', () => engine.getBootId() !== bootId);
    t.deepEqual(engine.listCached(), []);
    const again = await collectItems(engine.url, buildRequest());
    t.like(again.items[0], { token: { cached_pieces: 0 } });
  });
});

test('guards against a run that continues after an abort or a cancellation', async (t) => {
  await runWithEngine({ decodeTokensPerSecond: 20 }, async (engine) => {
    const stopper = new AbortController();
    const request = buildRequest({ max_tokens: 10_000 });
    const aborted = collectItems(engine.url, request, stopper.signal);
    const cancelled = collectItems(engine.url, { ...request, request_id: 'r2' });
    await waitFor('both runs', () => engine.getLoad().running === 2);
    stopper.abort();
    t.like((await aborted).last, { error: { kind: 'cancelled' } });
    const client = createEngineClient({ url: engine.url });
    await client.cancelRun('r2');
    t.like((await cancelled).last, { error: { kind: 'broken' } });
    await waitFor('no run', () => engine.getLoad().running === 0);
    client.close();
  });
});

test('guards against old weights after a weight change and against orders of a previous lease holder', async (t) => {
  await runWithEngine({ loadMs: 20 }, async (engine) => {
    const client = createEngineClient({ url: engine.url });
    const order = { order_id: 'o1', fencing: 5, deadline: Date.now() + 60_000, version: 'v2' };
    t.like(await client.sendOrder({ ...order, type: 'load_weights' }), { kind: 'accepted' });
    const stale = await client.sendOrder({ ...order, order_id: 'o2', fencing: 4, type: 'load_weights' });
    t.deepEqual(stale, { kind: 'stale-fencing', lastFencing: 5 });
    const late = await client.sendOrder({ ...order, order_id: 'o3', deadline: 1, type: 'set_role' });
    t.deepEqual(late, { kind: 'deadline-passed' });
    await waitFor('swap', async () => {
      const load = await client.readLoad();
      return load.ok && load.value.weight_version === 'v2' && !load.value.loading;
    });
    t.like((await collectItems(engine.url, buildRequest())).last, { error: { actual: 'v2' } });
    client.close();
  });
});

test('guards against lost events that leave no gap in the sequence numbers or cannot be resynchronised', async (t) => {
  await runWithEngine({ faults: { loseEvery: 3 } }, async (engine) => {
    const client = createEngineClient({ url: engine.url });
    await collectItems(engine.url, buildRequest());
    const stopper = new AbortController();
    const seqs: number[] = [];
    for await (const event of client.watchEvents(0, stopper.signal)) {
      seqs.push(event.seq);
      if (event.seq === 8) stopper.abort();
    }
    t.deepEqual(seqs, [1, 2, 4, 5, 7, 8]);
    t.like(await client.listPieces(), { ok: true, value: { seq: 8 } });
    client.close();
  });
});

test('guards against a client that reuses connections that no longer answer', async (t) => {
  await runWithEngine({}, async (engine) => {
    const client = createEngineClient({ url: engine.url, callTimeoutMs: 2_000 });
    t.true((await client.readLoad()).ok);
    engine.setFaults({ silenceOpen: true });
    t.like(await client.readLoad(), { ok: false, error: { kind: 'silent', sent: true } });
    t.true((await client.readLoad()).ok);
    client.close();
  });
});

test('guards against an event stream that waits forever on a silent connection', async (t) => {
  await runWithEngine({}, async (engine) => {
    const client = createEngineClient({ url: engine.url, eventTimeoutMs: 50 });
    for await (const event of client.watchEvents(0, new AbortController().signal)) t.fail(String(event.seq));
    t.pass();
    client.close();
  });
});
