import { readMoment } from '@laburnumshift/clock';
import type { CacheStore, PromptPiece } from '@laburnumshift/forward-types';
import { buildCacheScope, createPieceTransferPlanner, getStoreId } from '@laburnumshift/keep-pieces';
import { installClock } from '@laburnumshift/test-utils';
import { createServerTracker } from '@laburnumshift/track-engines';
import type { PublishedWeights } from '@laburnumshift/track-fleet';
import test from 'ava';

const STORE: CacheStore = {
  name: 's',
  address: '10.0.0.9:80',
  failureDomain: 'north',
  capacityTokens: 10_000,
  linkMbps: 1000,
  maxEventReaders: 4,
  isManaged: true,
  firstMs: 1,
};
const PIECES: readonly PromptPiece[] = [
  { id: 'a', tokens: 500 },
  { id: 'b', tokens: 4000 },
  { id: 'own', tokens: 300 },
];
const ENGINES = [
  { id: 'e1', address: '10.0.0.1:80' },
  { id: 'e2', address: '10.0.0.2:80' },
];
const OLD = buildCacheScope('shared', 'm', 1);

const createFixture = () => {
  const serverTracker = createServerTracker();
  const state = {
    successor: undefined as PublishedWeights | undefined,
    weightsAgeMs: 0,
    isReading: true,
    slowdowns: {} as Record<string, number>,
  };
  const freed: string[] = [];
  const transferPlanner = createPieceTransferPlanner({
    serverTracker,
    events: {
      isReading: () => state.isReading,
      getBootId: () => '1',
      readClockMs: () => 1000,
    },
    fleet: {
      findNextWeights: (_, version) => (version < 2 ? state.successor : undefined),
      getWeightsAgeMs: () => state.weightsAgeMs,
    },
    control: {
      freePieces: (_, bootId, pieces) => {
        freed.push(...pieces.map(({ scope, piece }) => `${bootId} ${scope} ${piece}`));
        return Promise.resolve(true);
      },
    },
  });
  const request = {
    scope: OLD,
    pieces: PIECES,
    engines: ENGINES,
    stores: [STORE],
    estimateSlowdown: (source: string) => state.slowdowns[source] ?? 1,
    maxSlowdown: 6,
  };
  const addPieceToStore = (scope: string, piece: PromptPiece): void => {
    serverTracker.getPieceTable(getStoreId(STORE)).addPiece(scope, piece.id, piece.tokens);
  };
  const setNewWeights = (): void => {
    state.successor = {
      model: 'm',
      version: 2,
      learnedAt: readMoment(),
      earliestPublishedAt: readMoment(),
      isInitial: false,
    };
  };
  const listSources = (engine = 'e1') => transferPlanner.planFetches(request)(engine).sources;
  return {
    serverTracker,
    state,
    freed,
    transferPlanner,
    request,
    addPieceToStore,
    setNewWeights,
    listSources,
  };
};

test('a piece is fetched from a store that holds it completely, otherwise from another engine', (t) => {
  const { serverTracker, addPieceToStore, listSources } = createFixture();
  serverTracker.getPieceTable('e2').addPiece(OLD, 'a', 500);
  serverTracker.getPieceTable(getStoreId(STORE)).addPiece(OLD, 'b', 3999);
  t.deepEqual(listSources(), ['10.0.0.2:80', undefined, undefined]);
  addPieceToStore(OLD, { id: 'b', tokens: 4000 });
  t.deepEqual(listSources(), ['10.0.0.2:80', STORE.address, undefined]);
  t.deepEqual(listSources('e2'), [undefined, STORE.address, undefined]);
});

test('nothing is fetched from a store whose events cannot be read', (t) => {
  const { state, addPieceToStore, listSources } = createFixture();
  addPieceToStore(OLD, { id: 'a', tokens: 500 });
  state.isReading = false;
  t.deepEqual(listSources(), [undefined, undefined, undefined]);
});

test('shared pieces are saved once, the last piece is never saved, and no store exceeds its capacity', (t) => {
  const { transferPlanner, request, listSources } = createFixture();
  const plan = { localTokens: 0, fetchTokens: 0, slowdown: 1, sources: listSources() };
  const { saveTo } = transferPlanner.planTransfers(request, plan);
  t.deepEqual(saveTo, [STORE.address, STORE.address, undefined]);
  t.deepEqual(transferPlanner.planTransfers(request, plan).saveTo, [undefined, undefined, undefined]);
  const large = { ...request, pieces: [{ id: 'large', tokens: 5100 }, ...PIECES.slice(2)] };
  t.deepEqual(transferPlanner.planTransfers(large, plan).saveTo, [undefined, undefined]);
});

test.serial(
  'pieces of replaced weights are freed only after the last fetch of them has timed out',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const { state, freed, transferPlanner, request, addPieceToStore, setNewWeights, listSources } =
      createFixture();
    addPieceToStore(OLD, { id: 'a', tokens: 500 });
    addPieceToStore(buildCacheScope('shared', 'm', 2), { id: 'c', tokens: 500 });
    setNewWeights();
    const fetchMs =
      (transferPlanner.planTransfers(request, transferPlanner.planFetches(request)('e1')).fetchUntilMs ?? 0) -
      1000;
    const times = { lastFetchMs: 0, freedMs: 12_000 };
    for (let now = 0; now < 12_000; now += 100) {
      if (listSources()[0] !== undefined) times.lastFetchMs = now;
      await transferPlanner.freeOutdated([STORE]);
      if (freed.length > 0) times.freedMs = Math.min(times.freedMs, now);
      await clock.tickAsync(100);
    }
    const { lastFetchMs, freedMs } = times;
    t.deepEqual(freed, [`1 ${OLD} a`]);
    t.true(lastFetchMs > 0);
    t.true(freedMs >= lastFetchMs + fetchMs);
    state.successor = undefined;
    addPieceToStore(OLD, { id: 'a', tokens: 500 });
    state.weightsAgeMs = freedMs - fetchMs;
    t.deepEqual(listSources(), [undefined, undefined, undefined]);
  },
);

test.serial(
  'a host that learned of new weights late does not fetch longer than other hosts and does not free pieces earlier',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const { state, freed, transferPlanner, addPieceToStore, listSources } = createFixture();
    addPieceToStore(OLD, { id: 'a', tokens: 500 });
    const earliest = readMoment();
    await clock.tickAsync(4000);
    state.successor = {
      model: 'm',
      version: 2,
      learnedAt: readMoment(),
      earliestPublishedAt: earliest,
      isInitial: false,
    };
    t.is(listSources()[0], undefined);
    await clock.tickAsync(6000);
    await transferPlanner.freeOutdated([STORE]);
    t.deepEqual(freed, []);
    await clock.tickAsync(1000);
    await transferPlanner.freeOutdated([STORE]);
    t.is(freed.length, 1);
  },
);

// Guards against pieces that are freed while engines still fetch them, by a host that read the weights long after its start (MIXED).
test.serial('a host that reads its first list late does not free pieces earlier than others', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const { state, freed, transferPlanner, addPieceToStore, setNewWeights } = createFixture();
  addPieceToStore(OLD, { id: 'a', tokens: 500 });
  await clock.tickAsync(8700);
  setNewWeights();
  if (state.successor !== undefined) state.successor = { ...state.successor, isInitial: true };
  await clock.tickAsync(6400);
  await transferPlanner.freeOutdated([STORE]);
  t.deepEqual(freed, []);
  await clock.tickAsync(200);
  await transferPlanner.freeOutdated([STORE]);
  t.is(freed.length, 1);
});

// Guards against pieces that are freed too early because the time of day was set forward (MIXED).
test.serial('a step of the time of day does not free pieces earlier', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const { freed, transferPlanner, addPieceToStore, setNewWeights } = createFixture();
  addPieceToStore(OLD, { id: 'a', tokens: 500 });
  setNewWeights();
  await clock.tickAsync(2000);
  clock.setSystemTime(Date.now() + 5000);
  await transferPlanner.freeOutdated([STORE]);
  t.deepEqual(freed, []);
});

// Guards against fetches of pieces that other hosts free at the same time, by a host that has just started (MIXED).
test('a host fetches no pieces of weights that were replaced before its first list', (t) => {
  const { state, addPieceToStore, setNewWeights, listSources } = createFixture();
  addPieceToStore(OLD, { id: 'a', tokens: 500 });
  t.is(listSources()[0], STORE.address);
  setNewWeights();
  if (state.successor !== undefined) state.successor = { ...state.successor, isInitial: true };
  t.is(listSources()[0], undefined);
});

test('a source with a busy link is skipped for another engine, and nothing is fetched when all links are busy', (t) => {
  const { serverTracker, state, addPieceToStore, listSources } = createFixture();
  addPieceToStore(OLD, { id: 'a', tokens: 500 });
  serverTracker.getPieceTable('e2').addPiece(OLD, 'a', 500);
  t.is(listSources()[0], STORE.address);
  state.slowdowns[STORE.address] = 8;
  t.is(listSources()[0], '10.0.0.2:80');
  t.is(listSources('e2')[0], undefined);
  state.slowdowns['10.0.0.2:80'] = 8;
  t.is(listSources()[0], undefined);
});
