import test from 'ava';
import { createCell, createReport, createRequest } from './doubles.js';
import { createEngines, SCOPE, startCell } from './start-cell.js';

// Guards against a herd: the load reports stay empty, so only the home's own grants tell the engines apart.
test.serial('grants correct the lagging load', async (t) => {
  const { askEngine } = await startCell(t, { engines: createEngines(3) });
  const chosen: string[] = [];
  for (let i = 0; i < 6; i += 1) chosen.push(await askEngine(createRequest()));
  t.deepEqual(
    ['e0', 'e1', 'e2'].map((name) => chosen.filter((one) => one === name).length),
    [2, 2, 2],
  );
});

// Guards against a queued request that loses its place, or that waits on although a slot is free.
test.serial('a queued request is granted when a run ends', async (t) => {
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

// Guards against a request being held until near its deadline.
test.serial('a deadline out of reach is refused at once', async (t) => {
  const { ask } = await startCell(t, { engines: createEngines(1) });
  const reply = await ask(createRequest({ remainingMs: 500 }));
  t.like(reply, { kind: 'refused', code: 'deadline_unreachable', retryAfterMs: 300 });
});

// Guards against slots held by callers that are gone.
test.serial('a queued request that nobody asks about is dropped', async (t) => {
  const { cell, clock, ask } = await startCell(t, { engines: createEngines(1) });
  const running = [createRequest(), createRequest()];
  for (const request of running) await ask(request);
  await ask(createRequest());
  t.is(cell.getStatus().queue.waiting, 1);
  await clock.tickAsync(1200);
  t.is(cell.getStatus().queue.waiting, 0);
});

// Guards against crashes that go unnoticed, are reported twice, or blame requests of the next process.
test.serial('a crash yields the requests in flight once', async (t) => {
  const crashes: (readonly string[])[] = [];
  const engines = createEngines(1);
  const options = { onCrash: (fingerprints: readonly string[]) => void crashes.push(fingerprints) };
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

// Guards against new work on engines that leave, load or are silent.
test.serial('leaving, loading and silent engines get no work', async (t) => {
  const engines = createEngines(4);
  const { cell, clock, askEngine } = await startCell(t, { engines });
  cell.setLeaving(new Set(['e0']));
  for (const [index, engine] of engines.entries()) {
    if (index === 1) engine.load = { ...engine.load, leaving: true };
    if (index === 2) engine.error = { kind: 'silent', detail: '', sent: true };
  }
  await clock.tickAsync(600);
  t.is(await askEngine(createRequest()), 'e3');
  t.is(await askEngine(createRequest()), 'e3');
});

// Guards against two suspects on one engine, and two runs of one suspect.
test.serial('suspects run apart', async (t) => {
  const options = { isSuspect: (fingerprint: string) => fingerprint.startsWith('suspect') };
  const { askEngine } = await startCell(t, { engines: createEngines(2), options });
  const first = await askEngine(createRequest({ fingerprint: 'suspect-1' }));
  t.is(await askEngine(createRequest({ fingerprint: 'suspect-1' })), 'queued');
  const second = await askEngine(createRequest({ fingerprint: 'suspect-2' }));
  t.deepEqual([first, second].sort(), ['e0', 'e1']);
  t.is(await askEngine(createRequest({ fingerprint: 'suspect-3' })), 'queued');
});

// Guards against cached pieces of another weight version, and against a resumed run changing its version.
test.serial('weight versions are kept apart', async (t) => {
  const engines = createEngines(2);
  const pieces = createRequest().pieces.map(({ chain }) => ({ scope: SCOPE, chain }));
  const [old, next] = engines;
  if (old === undefined || next === undefined) throw new Error('no engines');
  old.pieces = pieces;
  next.pieces = pieces;
  next.load = { ...next.load, weight_version: 'v2' };
  const { ask } = await startCell(t, { engines });
  const resumed = await ask(createRequest({ weightVersion: 'v2' }));
  t.like(resumed, { kind: 'granted', grant: { engine: 'e1', weightVersion: 'v2', cachedPieces: 0 } });
  const fresh = await ask(createRequest());
  t.like(fresh, { kind: 'granted', grant: { engine: 'e0', cachedPieces: 4, cacheScope: SCOPE } });
});

// Guards against lost cache events going unnoticed.
test.serial('a gap in the events is repaired', async (t) => {
  const engines = createEngines(1);
  const { clock, ask } = await startCell(t, { engines });
  const [engine] = engines;
  if (engine === undefined) throw new Error('no engine');
  engine.pieces = [{ scope: SCOPE, chain: 'c0' }];
  engine.pushEvent({ seq: 5, at: 0, type: 'stored', scope: SCOPE, chain: 'c1' });
  await clock.tickAsync(10);
  t.is(engine.lists, 2);
  t.like(await ask(createRequest()), { grant: { cachedPieces: 1 } });
});

// Guards against a decision that counts on the whole engine while the older system uses a part of it.
test.serial('the share of the older system counts as load', async (t) => {
  const engines = createEngines(2);
  const [shared] = engines;
  if (shared === undefined) throw new Error('no engine');
  shared.load = { ...shared.load, other_share: 0.5 };
  const { askEngine, cell } = await startCell(t, { engines });
  t.is(await askEngine(createRequest()), 'e1');
  t.is(cell.getStatus().engines[0]?.slots, 1);
});

// Guards against estimates that stay wrong when an engine is slower than configured.
test.serial('rates are learned from reports', async (t) => {
  const { cell, clock, ask } = await startCell(t, { engines: createEngines(1) });
  for (let i = 0; i < 40; i += 1) {
    const request = createRequest();
    await ask(request);
    await clock.tickAsync(1700);
    cell.reportRun({ ...createReport(request, 'e0'), firstTokenMs: 1600 });
  }
  t.true(Math.abs((cell.getStatus().engines[0]?.prefillTokensPerSecond ?? 0) - 5000) < 100);
});

// Guards against grants that are wrong, and not only worse, when two nodes both hold the cell.
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

// Guards against a full list of all pieces each time that an idle event stream is opened again.
test.serial('an idle event stream goes on without a new list', async (t) => {
  const engines = createEngines(1);
  const [engine] = engines;
  if (engine === undefined) throw new Error('no engine');
  const { clock } = await startCell(t, { engines });
  await clock.tickAsync(2_000);
  // The first list may come before the first load report and is then repeated once under the boot id.
  engine.closeEvents();
  await clock.tickAsync(2_000);
  const { lists } = engine;
  engine.closeEvents();
  await clock.tickAsync(2_000);
  engine.closeEvents();
  await clock.tickAsync(2_000);
  t.is(engine.lists, lists);
});
