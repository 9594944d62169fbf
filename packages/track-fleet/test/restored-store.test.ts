import type { BackendEntry, ForwardConfig, ObjectSource, StoredObject } from '@laburnumshift/forward-types';
import { joinRevision } from '@laburnumshift/order-revisions';
import { installClock } from '@laburnumshift/test-utils';
import { trackFleet } from '@laburnumshift/track-fleet';
import test, { type ExecutionContext } from 'ava';

type Kind = 'config' | 'backends' | 'weights';
type Specs = Partial<Record<Kind, Record<string, unknown>>>;

const SERVER: BackendEntry = {
  id: 'a',
  service: 'models',
  address: '10.0.0.1:80',
  failureDomain: 'north',
  slots: 8,
  isDraining: false,
  bornMs: 1,
  reportNumber: 5,
  versions: new Map(),
  orderMark: undefined,
};

/** Starts a fleet on a store that the test replaces by a copy: each call of `restore` begins an era. */
const start = async (t: ExecutionContext, first: Specs) => {
  const clock = installClock();
  let specs = first;
  let revision = joinRevision({ era: 1, revision: 10 });
  const waiting = new Map<string, (outcome: never) => void>();
  const toObject = (name: string, spec: unknown): StoredObject => ({ name, revision, spec, status: null });
  const source: ObjectSource = {
    listObjects: (kind) => {
      const objects = Object.entries(specs[kind as Kind] ?? {}).map(([name, spec]) => toObject(name, spec));
      return Promise.resolve({ kind: 'listed', objects, revision });
    },
    watchChanges: (kind) =>
      new Promise((resolve) => {
        waiting.set(kind, resolve);
      }),
    writeStatus: () => Promise.resolve(true),
  };
  const fleet = trackFleet({
    source,
    decoder: {
      decodeConfig: ({ spec }) => (spec === 'invalid' ? undefined : (spec as ForwardConfig)),
      decodeBackend: ({ spec }) => spec as BackendEntry,
      decodeWeights: ({ spec }) => spec as { model: string; version: number },
    },
    kinds: { config: 'config', backends: 'backends', weights: 'weights' },
    waitMs: { config: 1000, backends: 1000, weights: 1000 },
    getBatchDelayMs: () => 0,
    expiryGraceMs: 2000,
    minOutageMs: 500,
    maxReturnDelayMs: 700,
  });
  t.teardown(() => {
    fleet.close();
    clock.uninstall();
  });
  await clock.tickAsync(1);
  const listAgain = async (copy: Specs): Promise<void> => {
    specs = copy;
    revision = joinRevision({ era: Math.floor(revision / 2 ** 40) + 1, revision: 5 });
    for (const reply of waiting.values()) reply({ kind: 'compacted' } as never);
    await clock.tickAsync(1);
  };
  const watch = async (kind: Kind, name: string, spec: unknown, isRemoved = false): Promise<void> => {
    revision += 1;
    const changes = [{ isRemoved, object: toObject(name, spec) }];
    waiting.get(kind)?.({ kind: 'changes', revision, changes } as never);
    await clock.tickAsync(1);
  };
  return { clock, fleet, listAgain, watch };
};
const readFirst = (fleet: ReturnType<typeof trackFleet>, kind: Kind): unknown =>
  fleet.readObjects(kind, 0)?.changes[0]?.object.spec;
const createConfig = (version: number, content = 'x') => ({ config: { main: { version, content } } });
const createServer = (entry: Partial<BackendEntry>) => ({ backends: { a: { ...SERVER, ...entry } } });
const createWeights = (version: number) => ({ weights: { m: { model: 'm', version } } });

for (const [copy, next, expected] of [
  ['an older version', createConfig(3), createConfig(5)],
  ['an invalid one', { config: { main: 'invalid' } }, createConfig(5)],
  ['none', {}, createConfig(5)],
  ['the same version with other content', createConfig(5, 'y'), createConfig(5, 'y')],
  ['a newer version', createConfig(6), createConfig(6)],
] as const)
  test.serial(`a configuration in force does not go back when a restored store has ${copy}`, async (t) => {
    const { fleet, listAgain, watch } = await start(t, createConfig(5));
    await listAgain(next);
    t.deepEqual(fleet.getConfig(), expected.config.main as never);
    t.deepEqual(readFirst(fleet, 'config'), expected.config.main, 'followers get it too');
    await watch('config', 'main', createConfig(4).config.main);
    t.deepEqual(fleet.getConfig(), expected.config.main as never);
    await watch('config', 'main', createConfig(7).config.main);
    t.is(fleet.getConfig()?.version, 7);
  });

test.serial(
  'a version of the configuration comes into force once, also when it is written again',
  async (t) => {
    const { fleet, listAgain, watch } = await start(t, createConfig(5));
    const seen: number[] = [];
    fleet.watchConfig(({ version }) => seen.push(version));
    await listAgain(createConfig(3));
    await watch('config', 'main', createConfig(5).config.main);
    await watch('config', 'main', createConfig(5).config.main);
    t.deepEqual(seen, []);
  },
);

for (const [copy, next] of [
  ['has an older version', createWeights(2)],
  ['lacks them', {}],
] as const)
  test.serial(`weights do not go back when a restored store ${copy}`, async (t) => {
    const { fleet, listAgain, watch } = await start(t, createWeights(3));
    await listAgain(next);
    await watch('weights', 'm', createWeights(2).weights.m);
    t.is(fleet.getWeights('m')?.version, 3);
    t.is(fleet.findNextWeights('m', 2)?.version, 3);
    t.deepEqual(readFirst(fleet, 'weights'), createWeights(3).weights.m, 'followers get it too');
    await watch('weights', 'm', createWeights(4).weights.m);
    await watch('weights', 'm', createWeights(2).weights.m);
    t.is(fleet.getWeights('m')?.version, 4);
  });

for (const [found, entry, isDraining] of [
  ['before it did', { isDraining: false }, true],
  ['in an earlier report', { isDraining: false, reportNumber: 4 }, true],
  ['in an earlier life', { isDraining: false, bornMs: 0, reportNumber: 9 }, true],
  ['in a later report', { isDraining: false, reportNumber: 6 }, false],
  ['in another life', { isDraining: false, bornMs: 2, reportNumber: 0 }, false],
] as const)
  test.serial(
    `a server that said it leaves gets ${isDraining ? 'no calls' : 'calls'} when a restored store has it ${found}`,
    async (t) => {
      const { fleet, listAgain } = await start(t, createServer({ isDraining: true }));
      await listAgain(createServer(entry));
      t.is(fleet.getBackend('a')?.isDraining, isDraining);
      t.is(fleet.listBackends('models').length, isDraining ? 0 : 1);
    },
  );

for (const reportNumber of [4, 5])
  test.serial(
    `a server whose last report was 5 and that is gone gets no calls when a restored store has report ${String(reportNumber)}`,
    async (t) => {
      const { clock, fleet, listAgain, watch } = await start(t, createServer({}));
      await watch('backends', 'a', SERVER, true);
      await listAgain(createServer({ reportNumber }));
      t.is(fleet.listAllBackends().length, 0);
      await clock.tickAsync(2000);
      await watch('backends', 'a', SERVER, true);
      await clock.tickAsync(4000);
      t.is(fleet.listAllBackends().length, 0);
    },
  );

test.serial('a server that registers again after a restore gets calls', async (t) => {
  const { fleet, listAgain, watch } = await start(t, createServer({}));
  await watch('backends', 'a', SERVER, true);
  await listAgain(createServer({ reportNumber: 4 }));
  await watch('backends', 'a', { ...SERVER, reportNumber: 6 });
  t.is(fleet.listBackends('models').length, 1);
});

test.serial('a server that the copy lacks keeps its calls until it registers again, or ends', async (t) => {
  const { clock, fleet, listAgain, watch } = await start(t, createServer({}));
  await listAgain({});
  await clock.tickAsync(1500);
  t.is(fleet.listBackends('models').length, 1);
  await watch('backends', 'a', { ...SERVER, reportNumber: 6 });
  await clock.tickAsync(3000);
  t.is(fleet.listBackends('models').length, 1);
  await listAgain({});
  await clock.tickAsync(2100);
  t.is(fleet.listBackends('models').length, 0);
});

test.serial(
  'an order mark is seen although the entry in the restored store has an earlier report',
  async (t) => {
    const orderMark = { holder: 'h', model: 'm', version: 2, stage: 'draining' } as const;
    const { fleet, listAgain, watch } = await start(t, createServer({}));
    await listAgain(createServer({ reportNumber: 4 }));
    // The store states no change of a server that reports the same again.
    await watch('backends', 'a', { ...SERVER, reportNumber: 4, orderMark });
    t.deepEqual(fleet.getBackend('a')?.orderMark, orderMark);
  },
);
