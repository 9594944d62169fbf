import test from 'ava';
import { createCell, createReport, createRequest } from './fakes.js';
import { createEngines, SCOPE, startCell } from './start-cell.js';

// Load reports lag behind grants. Without counting its own grants the home sends a burst of requests to one engine. Here the
// reports stay empty, so only the home's own grants tell the engines apart.
test.serial(
  'a burst of requests is not sent to one engine while load reports lag behind grants',
  async (t) => {
    const { askEngine } = await startCell(t, { engines: createEngines(3) });
    const chosen: string[] = [];
    for (let i = 0; i < 6; i += 1) chosen.push(await askEngine(createRequest()));
    t.deepEqual(
      ['e0', 'e1', 'e2'].map((name) => chosen.filter((engine) => engine === name).length),
      [2, 2, 2],
    );
  },
);

test.serial('a queued request keeps its position and is granted as soon as a run ends', async (t) => {
  const { cell, ask } = await startCell(t, { engines: createEngines(1) });
  const first = createRequest();
  await ask(first);
  await ask(createRequest());
  const waiting = createRequest();
  t.like(await ask(waiting), { kind: 'queued', position: 0 });
  const again = ask({ ...waiting, waitMs: 200 });
  cell.reportRun(createReport(first, 'e0'));
  t.is((await again).kind, 'granted');
});

test.serial(
  'a request that cannot meet its deadline is refused at once instead of waiting for the deadline',
  async (t) => {
    const { ask } = await startCell(t, { engines: createEngines(1) });
    const reply = await ask(createRequest({ remainingMs: 500 }));
    t.like(reply, { kind: 'refused', code: 'deadline_unreachable', retryAfterMs: 300 });
  },
);

// Otherwise a request whose caller has gone would be granted a slot that nobody uses.
test.serial('a queued request that its caller no longer repeats is dropped', async (t) => {
  const { cell, clock, ask } = await startCell(t, { engines: createEngines(1) });
  const running = [createRequest(), createRequest()];
  for (const request of running) await ask(request);
  await ask(createRequest());
  t.is(cell.getStatus().queue.waiting, 1);
  await clock.tickAsync(1200);
  t.is(cell.getStatus().queue.waiting, 0);
});

// A crash shows as a new boot id or as refused connections. A late failure report about the earlier process must not count as
// a crash of the next one.
test.serial('a crash is detected and its requests in flight are reported exactly once', async (t) => {
  const crashes: (readonly string[])[] = [];
  const engines = createEngines(1);
  const options = { onEngineCrash: (fingerprints: readonly string[]) => void crashes.push(fingerprints) };
  const { cell, clock, ask, askEngine } = await startCell(t, { engines, options });
  await ask(createRequest({ fingerprint: 'poison' }));
  const engine = engines[0];
  if (engine === undefined) throw new Error('no engine');
  engine.load = { ...engine.load, boot_id: 'boot-2' };
  await clock.tickAsync(600);
  t.deepEqual(crashes, [['poison']]);
  t.is(await askEngine(createRequest({ fingerprint: 'next' })), 'e0');
  cell.reportFailure({ pool: 'pool', cell: 0, engine: 'e0', crashed: true, bootId: 'boot-1' });
  t.is(crashes.length, 1);
  engine.error = { kind: 'unreachable', detail: 'refused', sent: false };
  await clock.tickAsync(600);
  t.deepEqual(crashes, [['poison'], ['next']]);
  await clock.tickAsync(2000);
  t.like(await ask(createRequest()), { kind: 'refused', code: 'no_engine' });
});

test.serial('engines that are leaving or do not answer get no new requests', async (t) => {
  const engines = createEngines(4);
  const { cell, clock, askEngine } = await startCell(t, { engines });
  cell.setLeavingServers(new Set(['e0']));
  for (const [index, engine] of engines.entries()) {
    if (index === 1) engine.load = { ...engine.load, leaving: true };
    if (index === 2) engine.error = { kind: 'silent', detail: '', sent: true };
  }
  await clock.tickAsync(600);
  t.is(await askEngine(createRequest()), 'e3');
  t.is(await askEngine(createRequest()), 'e3');
});

test.serial(
  'two suspect requests do not share an engine, and a suspect fingerprint does not run twice at once',
  async (t) => {
    const options = { isSuspect: (fingerprint: string) => fingerprint.startsWith('suspect') };
    const { askEngine } = await startCell(t, { engines: createEngines(2), options });
    const first = await askEngine(createRequest({ fingerprint: 'suspect-1' }));
    t.is(await askEngine(createRequest({ fingerprint: 'suspect-1' })), 'queued');
    const second = await askEngine(createRequest({ fingerprint: 'suspect-2' }));
    t.deepEqual([first, second].sort(), ['e0', 'e1']);
    t.is(await askEngine(createRequest({ fingerprint: 'suspect-3' })), 'queued');
  },
);

test.serial(
  'cached pieces of another weight version are not counted, and a resumed run keeps its version',
  async (t) => {
    const engines = createEngines(2);
    const pieces = createRequest().pieces.map(({ chain }) => ({ scope: SCOPE, chain }));
    const [oldEngine, newEngine] = engines;
    if (oldEngine === undefined || newEngine === undefined) throw new Error('no engines');
    oldEngine.pieces = pieces;
    newEngine.pieces = pieces;
    newEngine.load = { ...newEngine.load, weight_version: 'v2' };
    const { ask } = await startCell(t, { engines });
    const resumed = await ask(createRequest({ weightVersion: 'v2' }));
    t.like(resumed, { kind: 'granted', grant: { engine: 'e1', weightVersion: 'v2', cachedPieces: 0 } });
    const fresh = await ask(createRequest());
    t.like(fresh, { kind: 'granted', grant: { engine: 'e0', cachedPieces: 4, cacheScope: SCOPE } });
  },
);

test.serial('lost cache events are detected, and the pieces are listed again', async (t) => {
  const engines = createEngines(1);
  const { clock, ask } = await startCell(t, { engines });
  const [engine] = engines;
  if (engine === undefined) throw new Error('no engine');
  engine.pieces = [{ scope: SCOPE, chain: 'c0' }];
  engine.pushEvent({ seq: 5, at: 0, type: 'stored', scope: SCOPE, chain: 'c1' });
  await clock.tickAsync(10);
  t.is(engine.listCalls, 2);
  t.like(await ask(createRequest()), { grant: { cachedPieces: 1 } });
});

test.serial('the share of an engine that the older system uses is not counted as free', async (t) => {
  const engines = createEngines(2);
  const [shared] = engines;
  if (shared === undefined) throw new Error('no engine');
  shared.load = { ...shared.load, other_share: 0.5 };
  const { askEngine, cell } = await startCell(t, { engines });
  t.is(await askEngine(createRequest()), 'e1');
  t.is(cell.getStatus().engines[0]?.slots, 1);
});

test.serial('the estimated prefill rate converges when an engine is slower than configured', async (t) => {
  const { cell, clock, ask } = await startCell(t, { engines: createEngines(1) });
  for (let i = 0; i < 40; i += 1) {
    const request = createRequest();
    await ask(request);
    await clock.tickAsync(1700);
    cell.reportRun({ ...createReport(request, 'e0'), firstTokenMs: 1600 });
  }
  t.true(Math.abs((cell.getStatus().engines[0]?.prefillTokensPerSecond ?? 0) - 5000) < 100);
});

// Two nodes may briefly both be the home of a cell. Their placement may be worse, but their grants must not be wrong.
test.serial('two homes of one cell both give valid grants', async (t) => {
  const engines = createEngines(3);
  const { cell, clock, ask } = await startCell(t, { engines });
  const other = createCell({ engines });
  await clock.tickAsync(10);
  const granted: string[] = [];
  for (let i = 0; i < 3; i += 1) {
    for (const home of [cell, other]) {
      const request = createRequest();
      const reply = await ask(request, home);
      if (reply.kind !== 'granted') throw new Error(reply.kind);
      granted.push(reply.grant.engine);
      t.is(reply.grant.cacheScope, SCOPE);
    }
  }
  t.is(granted.length, 6);
  for (const [index, engine] of engines.entries()) {
    engine.load = { ...engine.load, running: granted.filter((name) => name === `e${String(index)}`).length };
  }
  await clock.tickAsync(600);
  const running = cell.getStatus().engines.reduce((sum, engine) => sum + engine.running, 0);
  t.is(running, 6);
  other.close();
});

test.serial('reopening an idle event stream does not list all pieces again', async (t) => {
  const engines = createEngines(1);
  const [engine] = engines;
  if (engine === undefined) throw new Error('no engine');
  const { clock } = await startCell(t, { engines });
  await clock.tickAsync(2_000);
  // A list made before the first load report has no boot id and is repeated once after the report.
  engine.closeEvents();
  await clock.tickAsync(2_000);
  const { listCalls } = engine;
  engine.closeEvents();
  await clock.tickAsync(2_000);
  engine.closeEvents();
  await clock.tickAsync(2_000);
  t.is(engine.listCalls, listCalls);
});
