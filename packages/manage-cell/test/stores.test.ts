import test from 'ava';
import { createReport, createRequest, FakeStore } from './fakes.js';
import { createEngines, createStored, SCOPE, startCell } from './start-cell.js';

// The engine pins and checks each piece itself, so that placement does not wait for stores.
test.serial('a grant lists its imports without pinning them in the store', async (t) => {
  const store = new FakeStore(['c0', 'c1', 'c2', 'c3'].map(createStored));
  const { ask } = await startCell(t, { engines: createEngines(1), store });
  const request = createRequest();
  const reply = await ask(request);
  if (reply.kind !== 'granted') throw new Error('not granted');
  t.deepEqual(
    reply.grant.imports.map((piece) => piece.chain),
    ['c0', 'c1', 'c2', 'c3'],
  );
  t.like(reply.grant.imports[0], { index: 0, url: 'http://s', key: `${SCOPE}:c0`, generation: 7 });
  t.deepEqual(store.pinned, []);
});

// Otherwise further requests would plan imports over a link that is broken or slow.
test.serial('failed and slow imports lower the estimated rate of a link', async (t) => {
  const store = new FakeStore(['c0', 'c1'].map(createStored));
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

test.serial('no imports are planned from a store that does not answer', async (t) => {
  const store = new FakeStore(['c0', 'c1'].map(createStored));
  const { clock, ask } = await startCell(t, { engines: createEngines(1), store });
  store.failing = true;
  await clock.tickAsync(600);
  t.like(await ask(createRequest()), { kind: 'granted', grant: { imports: [] } });
});

test.serial('exports wait until the link is idle, so that they do not delay imports', async (t) => {
  const store = new FakeStore([]);
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

// The reply to a list that began before an export lacks the exported piece.
test.serial('a piece exported while the store is being listed stays in the directory', async (t) => {
  const store = new FakeStore([]);
  const { cell, clock } = await startCell(t, { engines: createEngines(1), store });
  const finishList = store.holdLists();
  await clock.tickAsync(31_000);
  cell.reportRun(createReport(createRequest(), 'e0'));
  await clock.tickAsync(1_000);
  finishList();
  await clock.tickAsync(10);
  t.is(cell.getStatus().directory.stored, 4);
});

// Another node may briefly have been the home. Pieces that it exported would be computed again if they were not listed.
test.serial('pieces exported by another home are found within 1.6 s', async (t) => {
  const store = new FakeStore([]);
  const { clock, ask } = await startCell(t, { engines: createEngines(1), store });
  await clock.tickAsync(3000);
  store.pieces.push(...['c0', 'c1', 'c2', 'c3'].map(createStored));
  await clock.tickAsync(1600);
  const reply = await ask(createRequest());
  t.is(reply.kind === 'granted' ? reply.grant.imports.length : reply.kind, 4);
});

// The cost of a list grows with the number of pieces, for the store and for the home.
test.serial('exports of this home do not cause further lists of the store', async (t) => {
  const store = new FakeStore([]);
  const engines = createEngines(1);
  const { cell, clock } = await startCell(t, { engines, store });
  await clock.tickAsync(3000);
  const before = store.listCalls;
  cell.reportRun(createReport(createRequest(), 'e0'));
  await clock.tickAsync(100);
  const exported = engines[0]?.exported ?? [];
  t.is(exported.length, 4);
  store.pieces.push(...exported.map(createStored));
  await clock.tickAsync(10_000);
  t.is(store.listCalls, before);
});
