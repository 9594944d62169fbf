import test from 'ava';
import type { ExecutionContext } from 'ava';
import { computeScope } from '@laburnumshift/hash-pieces';
import type { CellHome } from '@laburnumshift/manage-cell';
import { installClock } from '@laburnumshift/test-utils';
import type { PlaceReply, PlaceRequest, StoredPiece } from '@laburnumshift/types';
import { createCell, createReport, createRequest, EngineDouble, StoreDouble } from './doubles.js';

const SCOPE = computeScope('a', 'm', undefined, 'v1');

const startCell = async (t: ExecutionContext, change: Parameters<typeof createCell>[0]) => {
  const clock = installClock();
  const cell = createCell(change);
  t.teardown(() => {
    cell.close();
    clock.uninstall();
  });
  await clock.tickAsync(10);
  const ask = async (request: PlaceRequest, home: CellHome = cell): Promise<PlaceReply> => {
    const reply = home.place(request);
    await clock.tickAsync(request.waitMs);
    return reply;
  };
  const askEngine = async (request: PlaceRequest, home?: CellHome): Promise<string> => {
    const reply = await ask(request, home);
    return reply.kind === 'granted' ? reply.grant.engine : reply.kind;
  };
  return { cell, clock, ask, askEngine };
};
const createEngines = (count: number): EngineDouble[] =>
  Array.from({ length: count }, () => new EngineDouble(2));
const createStored = (chain: string): StoredPiece => {
  const base = { scope: SCOPE, store: 's', tier: 'memory' as const, generation: 7 };
  return { ...base, chain, length: 10, checksum: 'sum', bytes: 1e6 };
};

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

// Guards against a placement that waits for the stores: the engine pins and checks each piece itself.
test.serial('a grant names its imports without a call to the store', async (t) => {
  const store = new StoreDouble(['c0', 'c1', 'c2', 'c3'].map(createStored));
  const { ask } = await startCell(t, { engines: createEngines(1), store });
  const request = createRequest();
  const reply = await ask(request);
  if (reply.kind !== 'granted') throw new Error('not granted');
  t.deepEqual(
    reply.grant.imports.map((one) => one.chain),
    ['c0', 'c1', 'c2', 'c3'],
  );
  t.like(reply.grant.imports[0], { index: 0, url: 'http://s', key: `${SCOPE}:c0`, generation: 7 });
  t.deepEqual(store.pinned, []);
});

// Guards against plans that go on counting on a link whose imports fail or are slow.
test.serial('failed and slow imports lower the rate of a link', async (t) => {
  const store = new StoreDouble(['c0', 'c1'].map(createStored));
  const { cell, ask } = await startCell(t, { engines: createEngines(1), store });
  const getRate = (): number => cell.getStatus().stores[0]?.bytesPerSecond ?? 0;
  const stated = getRate();
  const importOnce = async (change: Partial<ReturnType<typeof createReport>>): Promise<void> => {
    const request = createRequest();
    const reply = await ask(request);
    if (reply.kind !== 'granted') throw new Error(reply.kind);
    const estimate = reply.grant.estimateMs;
    cell.reportRun({ ...createReport(request, 'e0'), firstTokenMs: estimate, importedPieces: 2, ...change });
  };
  await importOnce({});
  t.true(getRate() > stated * 0.9);
  await importOnce({ importedPieces: 1 });
  t.true(getRate() < stated * 0.6);
  await importOnce({ firstTokenMs: 5000 });
  t.true(getRate() < stated * 0.1);
});

// Guards against plans that wait for a store that died.
test.serial('a dead store is left out', async (t) => {
  const store = new StoreDouble(['c0', 'c1'].map(createStored));
  const { clock, ask } = await startCell(t, { engines: createEngines(1), store });
  store.failing = true;
  await clock.tickAsync(600);
  t.like(await ask(createRequest()), { kind: 'granted', grant: { imports: [] } });
});

// Guards against exports that delay imports on a busy link.
test.serial('exports wait for an idle link', async (t) => {
  const store = new StoreDouble([]);
  store.linkQueuedBytes = 1e9;
  const engines = createEngines(1);
  const { cell, clock } = await startCell(t, { engines, store });
  cell.reportRun(createReport(createRequest(), 'e0'));
  await clock.tickAsync(2000);
  t.is(engines[0]?.exported.length, 0);
  store.linkQueuedBytes = 0;
  await clock.tickAsync(2000);
  t.deepEqual(engines[0]?.exported, ['c0', 'c1', 'c2', 'c3']);
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
