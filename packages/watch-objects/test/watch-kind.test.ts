import { installClock } from '@laburnumshift/test-utils';
import type { ListOutcome, ObjectSource, StoredObject, WatchOutcome } from '@laburnumshift/forward-types';
import { watchKind } from '@laburnumshift/watch-objects';
import test from 'ava';

const createObject = (name: string, revision: number): StoredObject => ({
  name,
  revision,
  spec: {},
  status: null,
});

/** Answers lists and watches from queues; a watch without an answer stays pending. */
const createSource = (lists: ListOutcome[], watches: WatchOutcome[]) => {
  const requested: number[] = [];
  const source: ObjectSource = {
    listObjects: () => Promise.resolve(lists.shift() ?? { kind: 'unavailable', reason: 'no more' }),
    watchChanges: (_, revision) => {
      requested.push(revision);
      const next = watches.shift();
      return next === undefined ? new Promise(() => undefined) : Promise.resolve(next);
    },
    writeStatus: () => Promise.resolve(true),
  };
  return { source, requested };
};
const createList = (revision: number, ...objects: StoredObject[]): ListOutcome => ({
  kind: 'listed',
  objects,
  revision,
});
const waitIdle = (clock: ReturnType<typeof installClock>, ms = 0) => clock.tickAsync(ms);

test.serial(
  'a compacted history leads to a new list, and objects missing from it are reported as removed',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const { source, requested } = createSource(
      [createList(5, createObject('a', 3), createObject('b', 4)), createList(9, createObject('b', 8))],
      [{ kind: 'compacted' }],
    );
    const seen: string[] = [];
    const view = watchKind({
      source,
      kind: 'k',
      waitMs: 1000,
      onChanges: (changes) => {
        for (const { isRemoved, object } of changes) seen.push(`${isRemoved ? '-' : '+'}${object.name}`);
      },
    });
    await waitIdle(clock, 10);
    view.close();
    t.deepEqual(seen, ['+a', '+b', '-a', '+b']);
    t.deepEqual([...view.objects.keys()], ['b']);
    t.deepEqual(requested, [5, 9]);
  },
);

test.serial('a change with an older revision does not replace a newer object', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const late = { isRemoved: true, object: createObject('a', 4) };
  const { source } = createSource(
    [createList(7, createObject('a', 6))],
    [{ kind: 'changes', changes: [late], revision: 8 }],
  );
  const view = watchKind({ source, kind: 'k', waitMs: 1000, onChanges: () => undefined });
  await waitIdle(clock, 10);
  view.close();
  t.is(view.objects.get('a')?.revision, 6);
});

test.serial(
  'the age counts from when the last answered call was sent, and grows while the store is unavailable',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const { source } = createSource([createList(1)], [{ kind: 'unavailable', reason: 'down' }]);
    const view = watchKind({ source, kind: 'k', waitMs: 1000, onChanges: () => undefined });
    t.is(view.getAgeMs(), Infinity);
    await waitIdle(clock, 3000);
    view.close();
    t.is(view.getAgeMs(), 3000);
  },
);

test.serial(
  'a suspension of the host counts towards the age although the monotonic clock stood still',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const { source } = createSource([createList(1)], []);
    const view = watchKind({ source, kind: 'k', waitMs: 1000, onChanges: () => undefined });
    await waitIdle(clock, 0);
    clock.setSystemTime(Date.now() + 6000);
    t.true(view.getAgeMs() >= 6000);
    view.close();
  },
);

test.serial('an outage keeps the copy and its revision, and the time of recovery is recorded', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const { source, requested } = createSource(
    [createList(4, createObject('a', 2))],
    [
      { kind: 'unavailable', reason: 'down' },
      { kind: 'unavailable', reason: 'down' },
      { kind: 'changes', changes: [], revision: 4 },
    ],
  );
  const view = watchKind({ source, kind: 'k', waitMs: 1000, onChanges: () => undefined });
  t.is(view.getMsSinceRecovery(), Infinity);
  await waitIdle(clock, 2000);
  view.close();
  t.deepEqual(requested, [4, 4, 4, 4]);
  t.is(view.objects.size, 1);
  t.true(view.getMsSinceRecovery() < 2000);
});

test.serial(
  'the first change is reported at once, and the next watch waits for the gather pause',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const createChange = (revision: number): WatchOutcome => ({
      kind: 'changes',
      changes: [{ isRemoved: false, object: createObject('a', revision) }],
      revision,
    });
    const { source, requested } = createSource([createList(1)], [createChange(2), createChange(3)]);
    const seen: number[] = [];
    const view = watchKind({
      source,
      kind: 'k',
      waitMs: 1000,
      getBatchDelayMs: () => 300,
      onChanges: (changes) => {
        for (const { object } of changes) seen.push(object.revision);
      },
    });
    await waitIdle(clock, 10);
    t.deepEqual(seen, [2]);
    await waitIdle(clock, 280);
    t.deepEqual(requested, [1]);
    await waitIdle(clock, 30);
    view.close();
    t.deepEqual(seen, [2, 3]);
  },
);

test.serial(
  'a stale list is followed by a current list when the history after it was compacted',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const requested: string[] = [];
    const source: ObjectSource = {
      listObjects: (_, isStaleAllowed) => {
        requested.push(isStaleAllowed === true ? 'stale list' : 'list');
        return Promise.resolve(createList(isStaleAllowed === true ? 5 : 9));
      },
      watchChanges: (_, revision) => {
        requested.push(`watch ${String(revision)}`);
        return revision < 8 ? Promise.resolve({ kind: 'compacted' }) : new Promise(() => undefined);
      },
      writeStatus: () => Promise.resolve(true),
    };
    const view = watchKind({
      source,
      kind: 'k',
      waitMs: 1000,
      isStaleAllowed: true,
      onChanges: () => undefined,
    });
    await waitIdle(clock, 50);
    view.close();
    t.deepEqual(requested, ['stale list', 'watch 5', 'list', 'watch 9']);
  },
);
