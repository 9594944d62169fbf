import type {
  ChangeAges,
  ListOutcome,
  ObjectChange,
  ObjectSource,
  StoredObject,
  WatchOutcome,
} from '@laburnumshift/forward-types';
import { joinRevision } from '@laburnumshift/order-revisions';
import { installClock } from '@laburnumshift/test-utils';
import { watchKind, type RestorePolicy } from '@laburnumshift/watch-objects';
import test, { type ExecutionContext } from 'ava';

const join = (era: number, revision: number): number => joinRevision({ era, revision });
const createObject = (name: string, revision: number, version = 1): StoredObject => ({
  name,
  revision,
  spec: { version },
  status: null,
});
const update = (...object: Parameters<typeof createObject>): ObjectChange => ({
  isRemoved: false,
  object: createObject(...object),
});
const remove = (name: string, revision: number): ObjectChange => ({
  isRemoved: true,
  object: createObject(name, revision),
});
const getVersion = ({ spec }: StoredObject): number => (spec as { version: number }).version;
/** Keeps the higher version, and removed objects of the same version. */
const KEEPS_NEWER: RestorePolicy = {
  isOlder: (found, known, state) =>
    getVersion(found) - getVersion(known) < 0 ||
    (state === 'removed' && getVersion(found) === getVersion(known)),
};
const NO_OUTAGE = { ageMs: 0, changedMs: 0, recoveredMs: Infinity };

/** Starts a copy; the test answers its lists and watches. */
const start = (t: ExecutionContext, restorePolicy: RestorePolicy = {}) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  let reply: (outcome: never) => void = () => undefined;
  let notifyRestore = (): void => undefined;
  const calls: string[] = [];
  const waitForReply = (call: string): Promise<never> => {
    calls.push(call);
    return new Promise((resolve) => {
      reply = resolve;
    });
  };
  const source: ObjectSource = {
    listObjects: () => waitForReply('list'),
    watchChanges: () => waitForReply('watch'),
    writeStatus: () => Promise.resolve(true),
    watchRestores: (handler) => {
      notifyRestore = handler;
    },
  };
  const seen: string[] = [];
  const view = watchKind({
    source,
    kind: 'k',
    waitMs: 1000,
    minOutageMs: 500,
    restorePolicy,
    onChanges: (changes) => {
      for (const { isRemoved, object } of changes)
        seen.push(`${isRemoved ? '-' : '+'}${object.name}${String(getVersion(object))}`);
    },
    onRestored: () => seen.push('restored'),
  });
  t.teardown(view.close);
  const replyWith = async (outcome: ListOutcome | WatchOutcome, afterMs = 0): Promise<void> => {
    await clock.tickAsync(afterMs);
    reply(outcome as never);
    await clock.tickAsync(0);
  };
  const list = (revision: number, objects: StoredObject[], ages?: ChangeAges): Promise<void> =>
    replyWith({ kind: 'listed', revision, objects, ...(ages && { ages }) });
  const watch = (revision: number, changes: ObjectChange[], ages?: ChangeAges): Promise<void> =>
    replyWith({ kind: 'changes', revision, changes, ...(ages && { ages }) });
  /** Ends the watch and answers the list after it. */
  const listAgain = async (revision: number, objects: StoredObject[]): Promise<void> => {
    await replyWith({ kind: 'compacted' });
    seen.length = 0;
    await list(revision, objects);
  };
  return {
    clock,
    view,
    calls,
    seen,
    replyWith,
    list,
    watch,
    listAgain,
    getNotifyRestore: () => notifyRestore,
  };
};

test.serial(
  'an object with other content is a change although its revision was given out before',
  async (t) => {
    const { list, listAgain, seen, view } = start(t);
    await list(join(1, 9), [createObject('a', join(1, 5)), createObject('b', join(1, 6))]);
    await listAgain(join(2, 8), [createObject('a', join(2, 5), 2), createObject('b', join(2, 6))]);
    t.deepEqual(seen, ['+a2', 'restored']);
    t.deepEqual(
      view.readChangesSince(join(1, 9))?.changes.map(({ object }) => object.name),
      ['a'],
      'followers get no unchanged objects',
    );
  },
);

test.serial(
  'a state of the copy that is older than the known one does not come back into force',
  async (t) => {
    const { list, watch, listAgain, seen } = start(t, KEEPS_NEWER);
    await list(join(1, 9), [createObject('a', join(1, 9), 5)]);
    await listAgain(join(2, 4), [createObject('a', join(2, 4), 3)]);
    await watch(join(2, 5), [update('a', join(2, 5), 4)]);
    await watch(join(2, 6), [update('a', join(2, 6), 4)], NO_OUTAGE);
    t.deepEqual(seen, ['restored']);
    await watch(join(2, 7), [update('a', join(2, 7), 5)]);
    await watch(join(2, 8), [update('a', join(2, 8), 4)]);
    t.deepEqual(seen, ['restored', '+a5', '+a4'], 'within one era the store decides');
  },
);

for (const keepsMissing of [true, false])
  test.serial(
    `objects that a restored store lacks are ${keepsMissing ? 'not lost' : 'removed'} with keepsMissing ${String(keepsMissing)}`,
    async (t) => {
      const { list, listAgain, view } = start(t, { keepsMissing });
      await list(join(1, 9), [createObject('a', join(1, 9))]);
      await listAgain(join(2, 8), [createObject('b', join(2, 5))]);
      t.is(view.objects.has('a'), keepsMissing);
      await listAgain(join(2, 9), []);
      t.is(view.objects.has('a'), keepsMissing, 'also after a second list');
      t.false(view.objects.has('b'), 'within one era the store decides');
    },
  );

test.serial('an object that was removed before a restore does not come back with the copy', async (t) => {
  const { clock, list, watch, listAgain, seen, view } = start(t, KEEPS_NEWER);
  await list(
    join(1, 9),
    ['a', 'b', 'c'].map((name) => createObject(name, join(1, 5))),
  );
  await watch(join(1, 12), [remove('a', join(1, 10)), remove('b', join(1, 11)), remove('c', join(1, 12))]);
  const copy = [
    createObject('a', join(2, 5)),
    createObject('b', join(2, 5), 2),
    createObject('c', join(2, 5)),
  ];
  await listAgain(join(2, 8), copy);
  t.deepEqual(seen, ['+b2', 'restored'], 'a newer state than the removed one is believed');
  await watch(join(2, 9), [remove('c', join(2, 9))]);
  await clock.tickAsync(5000);
  await watch(join(2, 9), []);
  await list(join(2, 10), copy.slice(0, 2));
  t.true(view.objects.has('a'), 'an object that is still there later was created again');
  t.false(view.objects.has('c'));
});

for (const [fault, era] of [
  ['another restore', 3],
  ['a compaction', 2],
] as const)
  test.serial(
    `an object that was removed before a restore does not come back early with ${fault} after it`,
    async (t) => {
      const { clock, list, watch, listAgain, view } = start(t, KEEPS_NEWER);
      await list(join(1, 9), [createObject('a', join(1, 5))]);
      await watch(join(1, 10), [remove('a', join(1, 10))]);
      await listAgain(join(2, 8), [createObject('a', join(2, 5))]);
      await clock.tickAsync(3000);
      await listAgain(join(era, 8), [createObject('a', join(era, 5))]);
      t.false(view.objects.has('a'));
      const relistMs = era === 2 ? 2000 : 5000;
      await clock.tickAsync(relistMs - 100);
      await watch(join(era, 9), []);
      await clock.tickAsync(100);
      await watch(join(era, 9), []);
      await list(join(era, 9), [createObject('a', join(era, 5))]);
      t.true(view.objects.has('a'));
    },
  );

test.serial(
  'an object that is created again after a restore is not taken for one from before it',
  async (t) => {
    const { list, watch, listAgain, view } = start(t, KEEPS_NEWER);
    await list(join(1, 9), []);
    await listAgain(join(2, 8), [createObject('a', join(2, 5))]);
    await watch(join(2, 9), [remove('a', join(2, 9))]);
    await listAgain(join(2, 10), [createObject('a', join(2, 10))]);
    t.true(view.objects.has('a'));
  },
);

test.serial('the list of a relay that is an era behind does not undo a restore', async (t) => {
  const { list, listAgain, replyWith, seen, view } = start(t);
  await list(join(1, 9), [createObject('a', join(1, 5))]);
  await listAgain(join(2, 8), [createObject('a', join(2, 5), 2)]);
  await replyWith({ kind: 'compacted' });
  await list(join(1, 10), [createObject('a', join(1, 10), 3)], NO_OUTAGE);
  t.is(view.readState()?.revision, undefined, 'it lists again');
  t.deepEqual(seen, ['+a2', 'restored']);
});

test.serial('a restore is reported once, by a list or by relayed changes', async (t) => {
  const { list, watch, listAgain, seen } = start(t);
  await list(join(1, 9), []);
  t.deepEqual(seen, []);
  await watch(join(2, 3), [update('a', join(2, 3))], NO_OUTAGE);
  await watch(join(2, 4), []);
  t.deepEqual(seen, ['+a1', 'restored']);
  await listAgain(join(3, 4), [createObject('a', join(3, 3))]);
  await listAgain(join(3, 4), [createObject('a', join(3, 3))]);
  t.deepEqual(seen, []);
});

test.serial(
  'a restore without a failed call is an outage, as entries may be missing in the copy',
  async (t) => {
    const { clock, list, listAgain, view } = start(t);
    await list(join(1, 9), []);
    await clock.tickAsync(300);
    t.is(view.getMsSinceRecovery(), Infinity);
    await listAgain(join(2, 8), []);
    t.is(view.getMsSinceRecovery(), 0);
    await clock.tickAsync(400);
    t.is(view.getMsSinceRecovery(), 400);
  },
);

for (const [noticed, failures, recoveredMs, expectedMs] of [
  ['itself', 4, Infinity, 0],
  ['through its relay', 1, 100, 100],
] as const)
  test.serial(
    `an outage that a host noticed ${noticed} is known before the relayed changes after it are applied`,
    async (t) => {
      const { clock, list, watch, replyWith, view } = start(t);
      await list(join(1, 9), []);
      for (let call = 0; call < failures; call += 1)
        await replyWith({ kind: 'unavailable', reason: 'status 503' }, 400);
      await clock.tickAsync(400);
      await watch(join(1, 9), [], { ...NO_OUTAGE, recoveredMs });
      t.is(view.getMsSinceRecovery(), expectedMs);
    },
  );

test.serial(
  'a follower keeps no object that its relay never knew and the restored store lacks',
  async (t) => {
    const { list, listAgain, view } = start(t);
    await list(join(1, 9), [createObject('a', join(1, 5))]);
    await listAgain(join(2, 8), [createObject('a', join(2, 5))]);
    t.true((view.readState()?.newest ?? 0) > join(1, 12), 'followers request the changes');
    for (const after of [join(1, 10), join(2, 7)]) t.is(view.readChangesSince(after), undefined);
    for (const after of [join(1, 9), join(2, 8)]) t.deepEqual(view.readChangesSince(after)?.changes, []);
  },
);

for (const [taken, policy] of [
  ['brings no object into', {}],
  ['is not lost for', { keepsMissing: true }],
] as const)
  test.serial(`an answer that a relay sent before a restore ${taken} the copy after it`, async (t) => {
    const { list, watch, listAgain, view } = start(t, policy);
    await list(join(1, 9), []);
    await listAgain(join(2, 8), []);
    await watch(join(1, 10), [update('a', join(1, 10))], NO_OUTAGE);
    t.is(view.objects.has('a'), 'keepsMissing' in policy);
    await watch(join(2, 9), [update('b', join(2, 9))], NO_OUTAGE);
    t.true(view.objects.has('b'));
  });

test.serial('a copy does not wait after failed calls when the host has learned of a restore', async (t) => {
  const { clock, calls, list, replyWith, getNotifyRestore } = start(t);
  await list(join(1, 9), []);
  for (const pauseMs of [0, 150, 250]) await replyWith({ kind: 'unavailable', reason: 'refused' }, pauseMs);
  const count = calls.length;
  await clock.tickAsync(50);
  t.is(calls.length, count);
  getNotifyRestore()();
  await clock.tickAsync(0);
  t.is(calls.length, count + 1);
});

test.serial('the answers of a restored store do not confirm a copy that may lack changes', async (t) => {
  const { clock, view, list, listAgain } = start(t, { unconfirmedMs: 2000 });
  await list(join(1, 9), [createObject('a', join(1, 5))]);
  await clock.tickAsync(3000);
  await listAgain(join(2, 8), [createObject('a', join(2, 5))]);
  t.true(view.getAgeMs() >= 3000);
  t.is(view.readState()?.ageMs, 0, 'other hosts follow the copy meanwhile');
});

// Guards against keys that were taken away and are accepted again because the time of day was set forward (CONFIG).
test.serial('a step of the time of day does not confirm a copy of a restored store earlier', async (t) => {
  const { clock, view, list, watch, listAgain } = start(t, { unconfirmedMs: 2000 });
  await list(join(1, 9), [createObject('a', join(1, 5))]);
  await clock.tickAsync(3000);
  await listAgain(join(2, 8), [createObject('a', join(2, 5))]);
  clock.setSystemTime(Date.now() + 5000);
  // The second answer is that to a call which was sent after the step.
  for (let answers = 0; answers < 2; answers += 1) await watch(join(2, 8), []);
  t.true(view.getAgeMs() >= 3000);
});

// Guards against calls to removed servers that a restored store brings back, because the time of day was set forward (DRAIN).
test.serial(
  'a step of the time of day does not bring back objects that were removed before a restore',
  async (t) => {
    const { clock, view, list, watch, listAgain } = start(t, KEEPS_NEWER);
    await list(join(1, 9), [createObject('a', join(1, 5))]);
    await watch(join(1, 10), [remove('a', join(1, 10))]);
    await listAgain(join(2, 8), []);
    clock.setSystemTime(Date.now() + 6000);
    await listAgain(join(2, 9), [createObject('a', join(2, 5))]);
    t.false(view.objects.has('a'));
  },
);

test.serial('a change after a restore, or two seconds, confirm a copy again', async (t) => {
  const { clock, view, list, watch, listAgain } = start(t, { unconfirmedMs: 2000 });
  await list(join(1, 9), [createObject('a', join(1, 5))]);
  await clock.tickAsync(3000);
  await listAgain(join(2, 8), [createObject('a', join(2, 5))]);
  await watch(join(2, 9), [update('a', join(2, 9), 2)]);
  t.is(view.getAgeMs(), 0);
  await clock.tickAsync(1000);
  await listAgain(join(3, 8), [createObject('a', join(3, 5), 2)]);
  t.true(view.getAgeMs() >= 1000);
  await clock.tickAsync(2000);
  await watch(join(3, 8), []);
  t.true(view.getAgeMs() <= 2000);
});
