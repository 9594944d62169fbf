import type { ListOutcome, StoredObject, WatchOutcome } from '@laburnumshift/forward-types';
import {
  createOrderedStore,
  joinRevision,
  splitRevision,
  type StoreAnswer,
} from '@laburnumshift/order-revisions';
import { installClock } from '@laburnumshift/test-utils';
import type { ReadResult, WriteResult } from '@laburnumshift/types';
import test from 'ava';
import fc from 'fast-check';

const SEED = 29;
const LIST: ListOutcome = {
  kind: 'listed',
  objects: [{ name: 'a', revision: 7, spec: {}, status: null }],
  revision: 9,
};
const FOUND = { kind: 'found', object: { kind: 'k', name: 'a', version: 7, value: {} } } as const;

/** Creates a store whose answers the test queues, each with its era; a watch without an answer stays pending. */
const createStore = () => {
  const calls: string[] = [];
  const answers: StoreAnswer<unknown>[] = [];
  const reply = (name: string): Promise<never> => {
    calls.push(name);
    const next = answers.shift();
    return next === undefined ? new Promise(() => undefined) : (Promise.resolve(next) as Promise<never>);
  };
  const { source, leases, era } = createOrderedStore({
    listObjects: () => reply('list'),
    watchChanges: (_, revision) => reply(`watch ${String(revision)}`),
    writeStatus: () => reply('status'),
    readObject: () => reply('read'),
    writeObject: (_, __, ___, ifVersion) => reply(`write ${String(ifVersion)}`),
  });
  const addAnswer = (number: number | undefined, result: unknown): void => {
    answers.push({ era: number, result });
  };
  const list = (number: number | undefined): Promise<ListOutcome> => {
    addAnswer(number, LIST);
    return source.listObjects('k');
  };
  const watch = (after: number): Promise<WatchOutcome> => source.watchChanges('k', after, 1000);
  const write = (ifVersion: number): Promise<WriteResult> =>
    leases.writeObject('k', 'a', {}, ifVersion, '', 'lease');
  const read = (): Promise<ReadResult> => leases.readObject('k', 'a', 'lease');
  return { calls, addAnswer, list, watch, write, read, era };
};
const join = (era: number, revision: number): number => joinRevision({ era, revision });

test('a revision cannot be confused with one of another era', (t) => {
  const part = { era: fc.nat(8000), revision: fc.maxSafeNat().map((number) => number % 2 ** 40) };
  fc.assert(
    fc.property(fc.record(part), fc.record(part), (one, other) => {
      t.deepEqual(splitRevision(joinRevision(one)), one);
      const order = one.era - other.era || one.revision - other.revision;
      t.is(Math.sign(joinRevision(one) - joinRevision(other)), Math.sign(order));
    }),
    { seed: SEED },
  );
});

test('a store that states no era keeps its revisions', async (t) => {
  const { list, watch, write, read, addAnswer, calls, era } = createStore();
  t.deepEqual(await list(undefined), LIST);
  const changes: WatchOutcome = { kind: 'changes', changes: [], revision: 10 };
  addAnswer(undefined, changes);
  t.deepEqual(await watch(9), changes);
  addAnswer(undefined, FOUND);
  t.deepEqual(await read(), FOUND);
  addAnswer(undefined, { kind: 'written', version: 11 });
  t.deepEqual(await write(7), { kind: 'written', version: 11 });
  t.deepEqual(calls, ['list', 'watch 9', 'read', 'write 7']);
  t.deepEqual([era.getEra(), era.getAgeMs()], [0, Infinity]);
});

test('the revisions of an era are ordered after all of the era before', async (t) => {
  const { list, watch, addAnswer, calls } = createStore();
  const listed = await list(3);
  t.like(listed, { revision: join(3, 9), objects: [{ revision: join(3, 7) }] });
  const object: StoredObject = { name: 'a', revision: 10, spec: {}, status: null };
  addAnswer(3, { kind: 'changes', changes: [{ isRemoved: false, object }], revision: 12 });
  t.like(await watch(join(3, 9)), {
    revision: join(3, 12),
    changes: [{ object: { revision: join(3, 10) } }],
  });
  t.deepEqual(calls, ['list', 'watch 9']);
});

test('a watch from a revision before a restore misses no change of a revision that is given out again', async (t) => {
  const { list, watch, addAnswer, calls } = createStore();
  await list(2);
  t.deepEqual(await watch(join(1, 9)), { kind: 'compacted', isLocal: true });
  t.deepEqual(calls, ['list']);
  addAnswer(3, { kind: 'changes', changes: [], revision: 12 });
  t.deepEqual(await watch(join(2, 9)), { kind: 'compacted' });
});

test('a silent watch does not keep a host in the era before a restore', async (t) => {
  const { list, watch } = createStore();
  await list(1);
  const pending = watch(join(1, 9));
  await list(2);
  t.deepEqual(await pending, { kind: 'compacted', isLocal: true });
});

test('an answer from before a restore does not replace what was read after it', async (t) => {
  const { list, read, addAnswer } = createStore();
  await list(2);
  t.is((await list(1)).kind, 'unavailable');
  addAnswer(1, FOUND);
  t.is((await read()).kind, 'unavailable');
  addAnswer(1, { kind: 'absent' });
  t.is((await read()).kind, 'unavailable');
});

test('a write on a state from before a restore replaces no other state with its revision', async (t) => {
  const { list, write, addAnswer, calls } = createStore();
  await list(2);
  t.is((await write(join(1, 7))).kind, 'conflict');
  t.deepEqual(calls, ['list']);
  // The store was restored after this write was sent and before it was applied.
  addAnswer(3, { kind: 'written', version: 8 });
  t.is((await write(join(2, 7))).kind, 'unknown');
  addAnswer(3, { kind: 'written', version: 9 });
  t.deepEqual(await write(join(3, 8)), { kind: 'written', version: join(3, 9) });
  t.deepEqual(calls, ['list', 'write 7', 'write 8']);
});

test.serial(
  'the age of an era counts from its first answer, also when a failed call states it',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const { list, read, addAnswer, era } = createStore();
    await list(1);
    await clock.tickAsync(500);
    addAnswer(2, { kind: 'unavailable', detail: 'status 503' });
    await read();
    await clock.tickAsync(300);
    await list(2);
    t.deepEqual([era.getEra(), era.getAgeMs()], [2, 300]);
    // Guards against a lease that is taken over too early after a restore because the time of day was set forward (ONE).
    clock.setSystemTime(Date.now() + 5000);
    t.is(era.getAgeMs(), 300);
  },
);

test('an object that is created only after a restore is not taken for one of the era before', async (t) => {
  const { write, addAnswer } = createStore();
  const created = { kind: 'written', version: 7 } as const;
  addAnswer(1, created);
  t.deepEqual(await write(0), { ...created, version: join(1, 7) }, 'no era was known before');
  addAnswer(2, created);
  t.is((await write(0)).kind, 'unknown');
  addAnswer(2, created);
  t.is((await write(0)).kind, 'written');
});

for (const first of [0, 1]) {
  const startStore = () => {
    const state = { era: first };
    const buildAnswer = (result: unknown) => () => Promise.resolve({ era: state.era, result });
    const ordered = createOrderedStore({
      listObjects: buildAnswer({ kind: 'listed', objects: [], revision: 5 }),
      readObject: buildAnswer({ kind: 'absent' }),
      writeObject: buildAnswer({ kind: 'written', version: 6 }),
    } as never);
    return { state, ordered };
  };

  test(`a restore is not missed in a store whose first era is ${String(first)}`, async (t) => {
    const { state, ordered } = startStore();
    let restores = 0;
    ordered.era.watchRestores(() => {
      restores += 1;
    });
    await ordered.source.listObjects('config');
    t.is(restores, 0);
    state.era += 1;
    await ordered.source.listObjects('config');
    t.is(restores, 1);
  });

  test(`a creation that began in era ${String(first)}, the first one, is not trusted after a restore`, async (t) => {
    const { state, ordered } = startStore();
    await ordered.leases.readObject('lease', 'weights', 'lease');
    state.era += 1;
    t.is((await ordered.leases.writeObject('lease', 'weights', {}, 0, 'x', 'lease')).kind, 'unknown');
  });
}
