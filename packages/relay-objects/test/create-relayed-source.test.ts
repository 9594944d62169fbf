import type { ObjectSource, RelayedChanges, StoredObject, WatchOutcome } from '@laburnumshift/forward-types';
import { createRelayedSource } from '@laburnumshift/relay-objects';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';

const createObject = (revision: number): StoredObject => ({ name: 'a', revision, spec: {}, status: null });
const createRelayedChanges = (changes: Partial<RelayedChanges> = {}): RelayedChanges => ({
  after: 5,
  changes: [],
  revision: 8,
  ageMs: 100,
  changedMs: 0,
  recoveredMs: Infinity,
  ...changes,
});
/** Creates a source over a fake store that records watches and answers only those that wait at most 1 ms. */
const createFixture = (t: ExecutionContext, maxWaitMs = Infinity) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const storeWatches: (readonly [kind: string, after: number, waitMs: number])[] = [];
  const store: ObjectSource = {
    listObjects: () => Promise.resolve({ kind: 'listed', objects: [], revision: 5 }),
    watchChanges: (kind, after, waitMs) => {
      storeWatches.push([kind, after, waitMs]);
      return waitMs > 1
        ? new Promise(() => undefined)
        : Promise.resolve({ kind: 'changes', changes: [], revision: 77 });
    },
    writeStatus: () => Promise.resolve(true),
  };
  const source = createRelayedSource(store, { kinds: ['k', 'l'], getMaxWaitMs: () => maxWaitMs });
  const watch = (kind: string, after: number): WatchOutcome[] => {
    const outcomes: WatchOutcome[] = [];
    void source.watchChanges(kind, after, 1000).then((outcome) => outcomes.push(outcome));
    return outcomes;
  };
  const relayChanges = (relayed: RelayedChanges | undefined, elapsedMs = 10): void => {
    source.applyRelayedChanges(new Map([['k', relayed]]), elapsedMs);
  };
  return { clock, storeWatches, source, watch, relayChanges };
};

test.serial('watches go to the store until another host sends changes', async (t) => {
  const { storeWatches, watch, relayChanges, clock } = createFixture(t);
  watch('k', 5);
  t.deepEqual(storeWatches, [['k', 5, 1000]]);
  relayChanges(createRelayedChanges());
  const outcomes = watch('k', 5);
  t.is(storeWatches.length, 1);
  relayChanges(createRelayedChanges({ changes: [{ isRemoved: false, object: createObject(7) }] }));
  await clock.tickAsync(0);
  t.deepEqual(outcomes, [
    {
      kind: 'changes',
      changes: [{ isRemoved: false, object: createObject(7) }],
      revision: 8,
      ages: { ageMs: 110, changedMs: 10, recoveredMs: Infinity },
    },
  ]);
});

test.serial(
  'an answer to a request older than the watch does not complete it, as it may lack changes',
  async (t) => {
    const { watch, relayChanges, clock, source } = createFixture(t);
    relayChanges(createRelayedChanges());
    t.deepEqual(source.listWantedKinds()[0], ['k', Number.MAX_SAFE_INTEGER]);
    const outcomes = watch('k', 5);
    t.deepEqual(source.listWantedKinds()[0], ['k', 5]);
    relayChanges(createRelayedChanges({ after: Number.MAX_SAFE_INTEGER }));
    await clock.tickAsync(0);
    t.deepEqual(outcomes, []);
    relayChanges(createRelayedChanges({ after: 4 }));
    await clock.tickAsync(0);
    t.is(outcomes.length, 1);
  },
);

test.serial('after the host stops answering, pending and later watches go to the store', async (t) => {
  const { storeWatches, watch, relayChanges, clock } = createFixture(t);
  relayChanges(createRelayedChanges());
  const outcomes = watch('k', 5);
  await clock.tickAsync(1199);
  t.deepEqual(storeWatches, []);
  await clock.tickAsync(2);
  t.deepEqual(storeWatches, [['k', 5, 1]]);
  t.is(outcomes[0]?.kind === 'changes' && outcomes[0].revision, 77);
  watch('k', 77);
  t.deepEqual(storeWatches.at(-1), ['k', 77, 1000]);
});

test.serial('a host whose own copy is old is not followed', async (t) => {
  const { storeWatches, watch, relayChanges, clock } = createFixture(t);
  relayChanges(createRelayedChanges());
  watch('k', 5);
  relayChanges(createRelayedChanges({ ageMs: 1590 }), 20);
  await clock.tickAsync(0);
  t.deepEqual(storeWatches, [['k', 5, 1]]);
  watch('k', 5);
  t.deepEqual(storeWatches.at(-1), ['k', 5, 1000]);
});

test.serial(
  'a watch ends as compacted when the host does not know the changes, so that the kind is listed again',
  async (t) => {
    const { watch, relayChanges, clock } = createFixture(t);
    relayChanges(createRelayedChanges());
    const outcomes = watch('k', 5);
    relayChanges(undefined);
    await clock.tickAsync(0);
    t.deepEqual(outcomes, [{ kind: 'compacted' }]);
  },
);

// A host that others follow limits the wait of its own watches, here to 300 ms.
test.serial(
  'watches of kinds that the host does not send go to the store, with the wait limited for the configured kinds',
  (t) => {
    const { storeWatches, watch, relayChanges } = createFixture(t, 300);
    relayChanges(createRelayedChanges());
    watch('other', 1);
    watch('l', 2);
    t.deepEqual(storeWatches, [
      ['other', 1, 1000],
      ['l', 2, 300],
    ]);
  },
);
