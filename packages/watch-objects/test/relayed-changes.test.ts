import type { ObjectChange, ObjectSource, StoredObject, WatchOutcome } from '@laburnumshift/forward-types';
import { installClock } from '@laburnumshift/test-utils';
import { watchKind } from '@laburnumshift/watch-objects';
import test, { type ExecutionContext } from 'ava';

const createObject = (name: string, revision: number): StoredObject => ({
  name,
  revision,
  spec: {},
  status: null,
});
const update = (name: string, revision: number): ObjectChange => ({
  isRemoved: false,
  object: createObject(name, revision),
});
const remove = (name: string, revision: number): ObjectChange => ({
  isRemoved: true,
  object: createObject(name, revision),
});

/** Starts a copy whose watches the test answers. */
const startView = async (t: ExecutionContext, lists: StoredObject[][]) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  let reply: (outcome: WatchOutcome) => void = () => undefined;
  let revision = 10;
  const source: ObjectSource = {
    listObjects: () => {
      revision += 10;
      return Promise.resolve({ kind: 'listed', objects: lists.shift() ?? [], revision });
    },
    watchChanges: () =>
      new Promise((resolve) => {
        reply = resolve;
      }),
    writeStatus: () => Promise.resolve(true),
  };
  const changed: number[] = [];
  const view = watchKind({
    source,
    kind: 'k',
    waitMs: 1000,
    onChanges: () => changed.push(performance.now() - view.getChangedSince().monotonicMs),
  });
  t.teardown(view.close);
  await clock.tickAsync(0);
  const replyToWatch = async (outcome: WatchOutcome): Promise<void> => {
    reply(outcome);
    await clock.tickAsync(0);
  };
  return { clock, view, replyToWatch, changed };
};

test.serial('readSince returns the updates and removals after a revision', async (t) => {
  const { view, replyToWatch, clock } = await startView(t, [[createObject('a', 5), createObject('b', 6)]]);
  t.is(view.readChangesSince(19), undefined);
  t.deepEqual(view.readChangesSince(20)?.changes, []);
  await replyToWatch({ kind: 'changes', changes: [update('a', 21)], revision: 21 });
  await replyToWatch({ kind: 'changes', changes: [remove('b', 22)], revision: 23 });
  await clock.tickAsync(300);
  const since = view.readChangesSince(20);
  t.deepEqual(since?.changes, [remove('b', 22), update('a', 21)]);
  t.deepEqual([since?.revision, since?.after, since?.changedMs, since?.ageMs], [23, 20, 300, 300]);
  t.deepEqual(view.readChangesSince(21)?.changes, [remove('b', 22)]);
  t.deepEqual(view.readChangesSince(22)?.changes, []);
});

test.serial(
  'an object missing from a later list is reported as removed at the revision of the list',
  async (t) => {
    const { view, replyToWatch } = await startView(t, [
      [createObject('a', 5), createObject('b', 6)],
      [createObject('a', 5)],
    ]);
    await replyToWatch({ kind: 'compacted' });
    t.deepEqual(view.readChangesSince(25)?.changes, [remove('b', 30)]);
    t.deepEqual(view.readChangesSince(30)?.changes, []);
  },
);

test.serial('an object that was created again is not reported as removed', async (t) => {
  const { view, replyToWatch } = await startView(t, [[createObject('a', 5)]]);
  await replyToWatch({ kind: 'changes', changes: [remove('a', 21)], revision: 21 });
  await replyToWatch({ kind: 'changes', changes: [update('a', 22)], revision: 22 });
  t.deepEqual(view.readChangesSince(20)?.changes, [update('a', 22)]);
});

test.serial('the ages sent by another host set the age of the changes and of the copy', async (t) => {
  const { view, replyToWatch, clock, changed } = await startView(t, [[]]);
  await clock.tickAsync(2000);
  const ages = { ageMs: 700, changedMs: 900, recoveredMs: Infinity };
  await replyToWatch({ kind: 'changes', changes: [update('a', 21)], revision: 21, ages });
  t.is(view.getAgeMs(), 700);
  t.is(changed.at(-1), 900);
  t.is(view.readChangesSince(20)?.changedMs, 900);
  t.is(view.getMsSinceRecovery(), Infinity);
});

test.serial(
  'an answer from an older copy neither raises the age of this copy nor reverts its objects or revision',
  async (t) => {
    const { view, replyToWatch, clock } = await startView(t, [[createObject('a', 15)]]);
    await clock.tickAsync(200);
    const ages = { ageMs: 800, changedMs: 0, recoveredMs: 400 };
    await replyToWatch({ kind: 'changes', changes: [update('a', 14)], revision: 17, ages });
    t.is(view.getAgeMs(), 200);
    t.is(view.readChangesSince(20)?.revision, 20);
    t.is(view.objects.get('a')?.revision, 15);
    t.is(view.getMsSinceRecovery(), 400);
  },
);
