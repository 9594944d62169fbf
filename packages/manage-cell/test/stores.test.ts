import test from 'ava';
import { createReport, createRequest, StoreDouble } from './doubles.js';
import { createEngines, createStored, SCOPE, startCell } from './start-cell.js';

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

// Guards against exports that a list of the store, begun before them, makes the home forget.
test.serial('a piece exported while the store is listed stays known', async (t) => {
  const store = new StoreDouble([]);
  const { cell, clock } = await startCell(t, { engines: createEngines(1), store });
  const finishList = store.holdLists();
  await clock.tickAsync(31_000);
  cell.reportRun(createReport(createRequest(), 'e0'));
  await clock.tickAsync(1_000);
  finishList();
  await clock.tickAsync(10);
  t.is(cell.getStatus().directory.stored, 4);
});

// Guards against a home that computes again what another one exported while it was home for a moment.
test.serial('pieces that another home exported are known soon', async (t) => {
  const store = new StoreDouble([]);
  const { clock, ask } = await startCell(t, { engines: createEngines(1), store });
  await clock.tickAsync(3000);
  store.pieces.push(...['c0', 'c1', 'c2', 'c3'].map(createStored));
  await clock.tickAsync(1600);
  const reply = await ask(createRequest());
  t.is(reply.kind === 'granted' ? reply.grant.imports.length : reply.kind, 4);
});

// Guards against lists in a row: each one costs the store and the home as much as it has pieces.
test.serial('own exports are no reason to list a store', async (t) => {
  const store = new StoreDouble([]);
  const engines = createEngines(1);
  const { cell, clock } = await startCell(t, { engines, store });
  await clock.tickAsync(3000);
  const before = store.lists;
  cell.reportRun(createReport(createRequest(), 'e0'));
  await clock.tickAsync(100);
  const exported = engines[0]?.exported ?? [];
  t.is(exported.length, 4);
  store.pieces.push(...exported.map(createStored));
  await clock.tickAsync(10_000);
  t.is(store.lists, before);
});
