import { computeElapsedMs, readMoment, readMonotonicMs } from '@laburnumshift/clock';
import { installClock } from '@laburnumshift/test-utils';
import type {
  BackendEntry,
  ForwardConfig,
  ObjectSource,
  StoredObject,
  WatchOutcome,
} from '@laburnumshift/forward-types';
import { trackFleet, type FleetDecoder } from '@laburnumshift/track-fleet';
import test from 'ava';

const createObject = (name: string, revision: number, spec: unknown): StoredObject => ({
  name,
  revision,
  spec,
  status: null,
});
const createEntry = (id: string, changes: Partial<BackendEntry> = {}): BackendEntry => ({
  id,
  service: 'models',
  address: '10.0.0.1:80',
  failureDomain: 'north',
  slots: 8,
  isDraining: false,
  bornMs: 1,
  versions: new Map(),
  orderMark: undefined,
  ...changes,
});
const DECODER: FleetDecoder = {
  decodeConfig: ({ spec }) => spec as ForwardConfig,
  decodeBackend: ({ spec }) => (spec === 'damaged' ? undefined : (spec as BackendEntry)),
  decodeWeights: ({ spec }) => spec as { model: string; version: number },
};

/** Creates a store whose watch requests the test answers. */
const createStore = (lists: Record<string, StoredObject[]>) => {
  const waiting = new Map<string, (outcome: WatchOutcome) => void>();
  let revision = 100;
  const source: ObjectSource = {
    listObjects: (kind) => Promise.resolve({ kind: 'listed', objects: lists[kind] ?? [], revision }),
    watchChanges: (kind) =>
      new Promise((resolve) => {
        waiting.set(kind, resolve);
      }),
    writeStatus: () => Promise.resolve(true),
  };
  const replyTo = (kind: string, outcome: WatchOutcome): void => {
    waiting.get(kind)?.(outcome);
  };
  const updateObject = (kind: string, name: string, spec: unknown, isRemoved = false): void => {
    revision += 1;
    replyTo(kind, {
      kind: 'changes',
      revision,
      changes: [{ isRemoved, object: createObject(name, revision, spec) }],
    });
  };
  return { source, replyTo, updateObject };
};
const start = (store: ReturnType<typeof createStore>) =>
  trackFleet({
    source: store.source,
    decoder: DECODER,
    kinds: { config: 'config', backends: 'backends', weights: 'weights', evacuations: 'evacuations' },
    waitMs: { config: 1000, backends: 1000, weights: 1000 },
    getBatchDelayMs: () => 0,
    expiryGraceMs: 2000,
    minOutageMs: 500,
    maxReturnDelayMs: 700,
  });
const run = async (
  lists: Record<string, StoredObject[]>,
  runSteps: (
    fleet: ReturnType<typeof trackFleet>,
    store: ReturnType<typeof createStore>,
    clock: ReturnType<typeof installClock>,
  ) => Promise<void>,
): Promise<void> => {
  const clock = installClock();
  const store = createStore(lists);
  const fleet = start(store);
  try {
    await clock.tickAsync(1);
    await runSteps(fleet, store, clock);
  } finally {
    fleet.close();
    clock.uninstall();
  }
};

/** Fails the watches of servers for a time, each call 400 ms after the one before; returns when the last one was sent. */
const failWatches = async (
  store: ReturnType<typeof createStore>,
  clock: ReturnType<typeof installClock>,
  ms: number,
): Promise<void> => {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 400) {
    store.replyTo('backends', { kind: 'unavailable', reason: 'status 503' });
    await clock.tickAsync(400);
  }
};

test.serial('a configuration is never replaced by an older version', (t) =>
  run({ config: [createObject('main', 1, { version: 5 })] }, async (fleet, store, clock) => {
    store.updateObject('config', 'main', { version: 4 });
    await clock.tickAsync(1);
    t.is(fleet.getConfig()?.version, 5);
    store.updateObject('config', 'main', { version: 6 });
    await clock.tickAsync(1);
    t.is(fleet.getConfig()?.version, 6);
  }),
);

test.serial('a draining server is not listed for calls but stays known', (t) =>
  run({ backends: [createObject('a', 1, createEntry('a'))] }, async (fleet, store, clock) => {
    t.is(fleet.listBackends('models').length, 1);
    store.updateObject('backends', 'a', createEntry('a', { isDraining: true }));
    await clock.tickAsync(1);
    t.is(fleet.listBackends('models').length, 0);
    t.truthy(fleet.getBackend('a'));
  }),
);

test.serial('a server whose entry can no longer be decoded is removed', (t) =>
  run({ backends: [createObject('a', 1, createEntry('a'))] }, async (fleet, store, clock) => {
    store.updateObject('backends', 'a', 'damaged');
    await clock.tickAsync(1);
    t.is(fleet.listAllBackends().length, 0);
  }),
);

test.serial('without a store outage, a server whose entry is removed is removed at once', (t) =>
  run({ backends: [createObject('a', 1, createEntry('a'))] }, async (fleet, store, clock) => {
    store.updateObject('backends', 'a', createEntry('a'), true);
    await clock.tickAsync(1);
    t.is(fleet.listBackends('models').length, 0);
  }),
);

test.serial(
  'a server whose entry expired around a store outage is kept for the grace time and no longer',
  (t) =>
    run({ backends: [createObject('a', 1, createEntry('a'))] }, async (fleet, store, clock) => {
      await failWatches(store, clock, 3000);
      store.updateObject('backends', 'a', createEntry('a'), true);
      await clock.tickAsync(1);
      store.replyTo('backends', { kind: 'changes', revision: 300, changes: [] });
      await clock.tickAsync(1990);
      t.is(fleet.listBackends('models').length, 1);
      await clock.tickAsync(10);
      t.is(fleet.listBackends('models').length, 0);
    }),
);

test.serial(
  'a server that leaves after the store refused this host gets no calls at the end of the bound',
  (t) =>
    run({ backends: [createObject('a', 1, createEntry('a'))] }, async (fleet, store, clock) => {
      await failWatches(store, clock, 3000);
      store.replyTo('backends', { kind: 'changes', revision: 300, changes: [] });
      await clock.tickAsync(1500);
      store.updateObject('backends', 'a', createEntry('a'), true);
      await clock.tickAsync(1900);
      t.is(fleet.listBackends('models').length, 0);
    }),
);

test.serial(
  'a server that left while the store refused this host gets no calls once the host is well again',
  (t) =>
    run({ backends: [createObject('a', 1, createEntry('a'))] }, async (fleet, store, clock) => {
      await failWatches(store, clock, 3000);
      // The store may serve this host again from now on, and the host notices only later.
      await clock.tickAsync(1800);
      store.updateObject('backends', 'a', createEntry('a'), true);
      await clock.tickAsync(1100);
      t.is(fleet.listBackends('models').length, 0);
    }),
);

test.serial('a single failed call is not taken for an outage in which entries expire', (t) =>
  run({ backends: [createObject('a', 1, createEntry('a'))] }, async (fleet, store, clock) => {
    store.replyTo('backends', { kind: 'unavailable', reason: 'the watch was cut off' });
    await clock.tickAsync(200);
    store.updateObject('backends', 'a', createEntry('a'), true);
    await clock.tickAsync(1);
    t.is(fleet.listBackends('models').length, 0);
  }),
);

test.serial('a draining server whose entry expired around a store outage is removed at once', (t) =>
  run(
    { backends: [createObject('a', 1, createEntry('a', { isDraining: true }))] },
    async (fleet, store, clock) => {
      await failWatches(store, clock, 3000);
      store.updateObject('backends', 'a', createEntry('a'), true);
      await clock.tickAsync(1);
      t.is(fleet.listAllBackends().length, 0);
    },
  ),
);

test.serial('a server that restarted under its id is reported as removed and then as added', (t) =>
  run({ backends: [createObject('a', 1, createEntry('a'))] }, async (fleet, store, clock) => {
    const bornTimes: (number | undefined)[] = [];
    fleet.watchBackends((_, entry) => {
      bornTimes.push(entry?.bornMs);
    });
    store.updateObject('backends', 'a', createEntry('a', { bornMs: 2 }));
    await clock.tickAsync(1);
    t.deepEqual(bornTimes, [undefined, 2]);
  }),
);

test.serial(
  'weights of the first list are marked as initial, because their time of publication is unknown',
  (t) =>
    run({ weights: [createObject('m', 1, { model: 'm', version: 2 })] }, async (fleet, store, clock) => {
      t.true(fleet.getWeights('m')?.isInitial);
      store.updateObject('weights', 'm', { model: 'm', version: 3 });
      await clock.tickAsync(1);
      t.false(fleet.getWeights('m')?.isInitial);
      t.is(fleet.getWeights('m')?.version, 3);
    }),
);

test.serial('weights published while the store was unavailable may be as old as its last answer', (t) =>
  run({ weights: [createObject('m', 1, { model: 'm', version: 2 })] }, async (fleet, store, clock) => {
    store.updateObject('weights', 'm', { model: 'm', version: 3 });
    await clock.tickAsync(1);
    t.true(computeElapsedMs(fleet.getWeights('m')?.earliestPublishedAt ?? readMoment()) < 10);
    for (let failures = 0; failures < 10; failures += 1) {
      store.replyTo('weights', { kind: 'unavailable', reason: 'no answer in time' });
      await clock.tickAsync(500);
    }
    store.updateObject('weights', 'm', { model: 'm', version: 4 });
    await clock.tickAsync(1);
    const weights = fleet.getWeights('m');
    t.is(weights?.version, 4);
    t.true(computeElapsedMs(weights?.learnedAt ?? readMoment()) < 10);
    t.true(computeElapsedMs(weights?.earliestPublishedAt ?? readMoment()) >= 5000);
  }),
);

test.serial('weights in a delayed answer may be as old as the request for it', (t) =>
  run({ weights: [createObject('m', 1, { model: 'm', version: 2 })] }, async (fleet, store, clock) => {
    await clock.tickAsync(3000);
    store.updateObject('weights', 'm', { model: 'm', version: 3 });
    await clock.tickAsync(1);
    t.true(computeElapsedMs(fleet.getWeights('m')?.earliestPublishedAt ?? readMoment()) >= 3000);
  }),
);

const TWO_DOMAINS = [
  createObject('a', 1, createEntry('a')),
  createObject('b', 2, createEntry('b', { failureDomain: 'south' })),
];
const listIds = (fleet: ReturnType<typeof trackFleet>): string[] =>
  fleet.listBackends('models').map(({ id }) => id);

test.serial('guards against calls to a failure domain whose evacuation has an unreadable content', (t) =>
  run({ backends: TWO_DOMAINS }, async (fleet, store, clock) => {
    for (const spec of [{}, undefined, 'damaged', [7], null]) {
      store.updateObject('evacuations', 'north', spec);
      await clock.tickAsync(1);
      t.deepEqual(listIds(fleet), ['b']);
      t.true(fleet.getBackend('a')?.isEvacuated);
      store.updateObject('backends', 'a', createEntry('a', { reportNumber: 2 }));
      await clock.tickAsync(1);
      t.deepEqual(listIds(fleet), ['b']);
      store.updateObject('evacuations', 'north', spec, true);
      await clock.tickAsync(1);
      t.deepEqual(listIds(fleet).sort(), ['a', 'b']);
    }
    for (const name of ['north', 'south', 'nowhere']) {
      store.updateObject('evacuations', name, {});
      await clock.tickAsync(1);
    }
    t.deepEqual(listIds(fleet), []);
    t.is(fleet.listEvacuated('models').length, 2);
  }),
);

test.serial('guards against calls to an evacuated failure domain from a host that has just started', (t) =>
  run(
    {
      backends: TWO_DOMAINS,
      config: [createObject('main', 1, { version: 1, services: new Map() })],
      evacuations: [createObject('north', 3, {})],
    },
    (fleet) => {
      t.true(fleet.isComplete());
      t.deepEqual(listIds(fleet), ['b']);
      return Promise.resolve();
    },
  ),
);

test.serial('guards against an evacuation that ends with an outage of the store', (t) =>
  run({ backends: TWO_DOMAINS, evacuations: [createObject('north', 3, {})] }, async (fleet, store, clock) => {
    for (let elapsedMs = 0; elapsedMs < 4000; elapsedMs += 400) {
      store.replyTo('evacuations', { kind: 'unavailable', reason: 'status 503' });
      await clock.tickAsync(400);
    }
    t.deepEqual(listIds(fleet), ['b']);
    store.updateObject('evacuations', 'north', {}, true);
    await clock.tickAsync(500);
    t.deepEqual(listIds(fleet), ['b']);
    await clock.tickAsync(2000);
    t.deepEqual(listIds(fleet).sort(), ['a', 'b']);
  }),
);

const COLD_CONFIG = createObject('main', 1, {
  version: 1,
  services: new Map([['models', { coldPerS: 14, coldStartMs: 3000 }]]),
});
const computeColdMs = (fleet: ReturnType<typeof trackFleet>, id: string): number =>
  Math.max(0, Math.round((fleet.getBackend(id)?.coldUntilMs ?? -Infinity) - readMonotonicMs()));

test.serial('guards against a server that is taken for cold longer or shorter than it stated', (t) =>
  run(
    { config: [COLD_CONFIG], backends: [createObject('a', 1, createEntry('a'))] },
    async (fleet, store, clock) => {
      t.is(computeColdMs(fleet, 'a'), 0);
      store.updateObject('backends', 'a', createEntry('a', { reportNumber: 2, coldMs: 3000 }));
      await clock.tickAsync(1000);
      t.is(computeColdMs(fleet, 'a'), 2000);
      const mark = {
        model: 'm',
        version: 2,
        stage: 'draining',
        holder: 'h',
      } as unknown as BackendEntry['orderMark'];
      store.updateObject(
        'backends',
        'a',
        createEntry('a', { reportNumber: 2, coldMs: 3000, orderMark: mark }),
      );
      await clock.tickAsync(500);
      t.is(computeColdMs(fleet, 'a'), 1500);
      store.updateObject('backends', 'a', createEntry('a', { reportNumber: 3, coldMs: 0 }));
      await clock.tickAsync(500);
      t.is(computeColdMs(fleet, 'a'), 1000);
      await clock.tickAsync(1000);
      fleet.markCold({ id: 'a', bornMs: 1 }, 2500);
      t.is(computeColdMs(fleet, 'a'), 2500);
      t.is(fleet.listBackends('models')[0]?.coldUntilMs, fleet.getBackend('a')?.coldUntilMs);
      fleet.markCold({ id: 'a', bornMs: 2 }, 9000);
      t.is(computeColdMs(fleet, 'a'), 2500);
    },
  ),
);

test.serial(
  'guards against a server that is taken for warm as it starts, and for cold as it registers again',
  (t) =>
    run(
      { config: [COLD_CONFIG], backends: [createObject('a', 1, createEntry('a'))] },
      async (fleet, store, clock) => {
        const bornMs = Date.now();
        store.updateObject('backends', 'b', createEntry('b', { bornMs }));
        await clock.tickAsync(100);
        t.is(computeColdMs(fleet, 'b'), 2900);
        await clock.tickAsync(9900);
        store.updateObject('backends', 'b', undefined, true);
        await clock.tickAsync(1);
        store.updateObject('backends', 'b', createEntry('b', { bornMs }));
        await clock.tickAsync(1);
        t.is(computeColdMs(fleet, 'b'), 0);
      },
    ),
);
