import type { CopyState, ObjectSource, RelayedChanges, WatchOutcome } from '@laburnumshift/forward-types';
import { createRelayedSource } from '@laburnumshift/relay-objects';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';

const createState = (changes: Partial<CopyState> = {}): CopyState => ({
  kind: 'k',
  revision: 20,
  newest: 8,
  ageMs: 100,
  recoveredMs: Infinity,
  ...changes,
});
/** Creates a source that follows another host, over a fake store that counts its calls. */
const createFollower = (t: ExecutionContext, random = 0, staleTolerantKinds: readonly string[] = []) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const state = { isDown: false, calls: 0 };
  const reply = <T>(outcome: T): Promise<T | { readonly kind: 'unavailable'; readonly reason: string }> => {
    state.calls += 1;
    return Promise.resolve(state.isDown ? { kind: 'unavailable', reason: 'down' } : outcome);
  };
  const store: ObjectSource = {
    listObjects: () => reply({ kind: 'listed' as const, objects: [], revision: 5 }),
    watchChanges: (_, after) => reply({ kind: 'changes' as const, changes: [], revision: after }),
    writeStatus: () => Promise.resolve(true),
  };
  const source = createRelayedSource(store, {
    kinds: ['k', 'l', 'm'],
    staleTolerantKinds,
    getMaxWaitMs: () => 700,
    isFollower: () => true,
    pickRandom: () => random,
  });
  const watch = (kind = 'k', after = 10): WatchOutcome[] => {
    const outcomes: WatchOutcome[] = [];
    void source.watchChanges(kind, after, 1000).then((outcome) => outcomes.push(outcome));
    return outcomes;
  };
  return { clock, state, source, watch };
};

test.serial(
  'a complete copy is confirmed by the states of the host without a call to the store',
  async (t) => {
    const { clock, state, source, watch } = createFollower(t);
    source.applyKindStates([createState()], 40);
    const outcomes = watch();
    t.false(source.applyKindStates([createState({ recoveredMs: 300 })], 40));
    await clock.tickAsync(0);
    t.deepEqual(outcomes, [
      {
        kind: 'changes',
        changes: [],
        revision: 20,
        ages: { ageMs: 140, changedMs: 40, recoveredMs: 340 },
      },
    ]);
    t.is(state.calls, 0);
  },
);

test.serial('a copy that lacks a change is not confirmed, and the change is requested', async (t) => {
  const { clock, source, watch } = createFollower(t);
  source.applyKindStates([createState()], 1);
  const outcomes = watch('k', 7);
  t.true(source.applyKindStates([createState()], 1));
  await clock.tickAsync(0);
  t.deepEqual(outcomes, []);
  t.deepEqual(source.listWantedKinds()[0], ['k', 7]);
});

test.serial(
  'a follower lists through its host, and at the store when the host does not answer',
  async (t) => {
    const { clock, state, source } = createFollower(t);
    const relayed: RelayedChanges = {
      after: 0,
      changes: [{ isRemoved: false, object: { name: 'a', revision: 3, spec: {}, status: null } }],
      revision: 30,
      ageMs: 5,
      changedMs: 0,
      recoveredMs: Infinity,
    };
    const first = source.listObjects('k');
    t.deepEqual(source.listWantedKinds()[0], ['k', 0]);
    source.applyRelayedChanges(new Map([['k', relayed]]), 2);
    t.like(await first, { kind: 'listed', revision: 30, ages: { ageMs: 7 } });
    const second = source.listObjects('l');
    // The host answers for one kind only, so the list of the other kind waits for the random probe delay.
    await clock.tickAsync(6000);
    t.like(await second, { kind: 'listed', revision: 5 });
    t.is(state.calls, 1);
  },
);

test.serial(
  'while the store is down for all hosts, 195 followers make at most 4 calls each in 9 seconds',
  async (t) => {
    const followers = 195;
    let calls = 0;
    for (let index = 0; index < 10; index += 1) {
      const { clock, state, source, watch } = createFollower(t, index / 10);
      source.applyKindStates([createState(), createState({ kind: 'l' }), createState({ kind: 'm' })], 1);
      for (const kind of ['k', 'l', 'm']) watch(kind);
      state.isDown = true;
      for (let ageMs = 400; ageMs <= 9000; ageMs += 400) {
        await clock.tickAsync(400);
        source.applyKindStates(
          ['k', 'l', 'm'].map((kind) => createState({ kind, ageMs })),
          1,
        );
      }
      calls += state.calls;
      clock.uninstall();
    }
    const ofFleet = (calls / 10) * followers;
    // Covers nine seconds. An earlier version called the store for each kind up to ten times a second on each host.
    t.true(ofFleet <= 4 * followers, String(ofFleet));
  },
);

test.serial(
  'a follower whose host is cut off from the store uses the store itself when the store answers',
  async (t) => {
    const { clock, source, watch, state } = createFollower(t);
    source.applyKindStates([createState(), createState({ kind: 'l' })], 1);
    const outcomes = [watch('k'), watch('l')];
    for (let ageMs = 1700; ageMs < 6000; ageMs += 400) {
      source.applyKindStates([createState({ ageMs }), createState({ kind: 'l', ageMs })], 1);
      await clock.tickAsync(400);
    }
    t.true(outcomes.every(([outcome]) => outcome?.kind === 'changes' && outcome.ages === undefined));
    const before = state.calls;
    source.applyKindStates([createState({ ageMs: 10 })], 1);
    watch('k');
    await clock.tickAsync(100);
    t.is(state.calls, before, 'the host is followed again once its copy is recent');
  },
);

test.serial('while the store is down, one call at a time probes it, with growing delays', async (t) => {
  const { clock, state, source } = createFollower(t);
  const direct = createRelayedSource(
    {
      listObjects: () => Promise.resolve({ kind: 'unavailable', reason: 'down' }),
      watchChanges: () => {
        state.calls += 1;
        return Promise.resolve({ kind: 'unavailable', reason: 'down' });
      },
      writeStatus: () => Promise.resolve(false),
    },
    { kinds: ['k', 'l', 'm'], getMaxWaitMs: () => 700, pickRandom: () => 0 },
  );
  t.false(direct.isStoreDown());
  for (let turn = 0; turn < 80; turn += 1) {
    for (const kind of ['k', 'l', 'm']) void direct.watchChanges(kind, 1, 700);
    await clock.tickAsync(100);
  }
  t.true(direct.isStoreDown());
  t.true(state.calls <= 10, String(state.calls));
  t.false(source.isStoreDown());
});

test.serial('a store that is down is probed, and is used again when it answers', async (t) => {
  const { clock, state, source, watch } = createFollower(t);
  state.isDown = true;
  watch('k');
  await clock.tickAsync(1300);
  t.true(source.isStoreDown());
  await source.probeStore();
  state.isDown = false;
  await clock.tickAsync(2000);
  await source.probeStore();
  t.false(source.isStoreDown());
});

/**
 * Sends the states of a host that lost the store at 0 ms, every 400 ms, and watches the kind `k` after each; the kind `m` tolerates old
 * copies. Returns the ages with which these watches were answered: `undefined` for an answer of the store.
 */
const simulateOldRelay = async (
  { clock, source, watch }: ReturnType<typeof createFollower>,
  untilMs: number,
): Promise<(number | undefined)[]> => {
  const answers: WatchOutcome[][] = [];
  for (let ageMs = 0; ageMs < untilMs; ageMs += 400) {
    source.applyKindStates(
      ['k', 'l', 'm'].map((kind) => createState({ kind, ageMs })),
      1,
    );
    answers.push(watch('k'));
    await clock.tickAsync(400);
  }
  return answers.flat().flatMap((outcome) => (outcome.kind === 'changes' ? [outcome.ages?.ageMs] : []));
};

// The list of hosts tolerates old copies. Its states arrived with those of the configuration and put the probe off each time.
test.serial(
  'guards against a follower that never confirms its copy as its relay goes on sending states of kinds that tolerate old copies',
  async (t) => {
    for (const random of [0, 0.5, 1]) {
      const follower = createFollower(t, random, ['m']);
      const ages = await simulateOldRelay(follower, 2800);
      t.true(ages.includes(undefined), 'the store confirms the copy');
      follower.clock.uninstall();
    }
  },
);

/** Returns the longest time without a confirmation of the kind `k`, and the calls, while the copy of the relay grows old for 12 s. */
const measureConfirmations = async (t: ExecutionContext, random: number) => {
  const { clock, source, watch, state } = createFollower(t, random, ['m']);
  source.applyKindStates([createState(), createState({ kind: 'm' })], 1);
  let confirmedMs = 0;
  let longestMs = 0;
  let outcomes = watch('k');
  for (let nowMs = 0; nowMs < 12_000; nowMs += 50) {
    if (nowMs % 400 === 0)
      source.applyKindStates(
        ['k', 'l', 'm'].map((kind) => createState({ kind, ageMs: nowMs })),
        1,
      );
    await clock.tickAsync(50);
    const [outcome] = outcomes;
    if (outcome === undefined) continue;
    longestMs = Math.max(longestMs, nowMs - confirmedMs);
    if (outcome.kind === 'changes') confirmedMs = nowMs - (outcome.ages?.ageMs ?? 0);
    outcomes = watch('k');
  }
  clock.uninstall();
  return { longestMs: Math.max(longestMs, 12_000 - confirmedMs), calls: state.calls };
};

test.serial(
  'guards against a host beside an old relay that confirms its copy once and then waits for the relay for good',
  async (t) => {
    for (const random of [0, 0.5, 1]) {
      const { longestMs, calls } = await measureConfirmations(t, random);
      // 1.6 s until the copy is old, 0.3 s between two messages, 0.2 s at random, and two steps of the test.
      t.true(longestMs <= 2200, String(longestMs));
      // A host that changed between its relay and the store with all kinds made hundreds of calls.
      t.true(calls <= 16, String(calls));
    }
  },
);

// A copy is 0.4 s older just before the next message of its relay; a probe at that age cost every follower calls on calm days.
test.serial(
  'guards against calls to the store between the messages of a relay that follows it',
  async (t) => {
    const { clock, source, watch, state } = createFollower(t, 0, ['m']);
    source.applyKindStates([createState(), createState({ kind: 'm' })], 1);
    for (let turn = 0; turn < 30; turn += 1) {
      watch('k');
      source.applyKindStates([createState({ ageMs: 1400 }), createState({ kind: 'm', ageMs: 1400 })], 1);
      await clock.tickAsync(400);
    }
    t.is(state.calls, 0);
  },
);

// One list at a time, each after a further pause of seconds, kept hosts of a fleet that starts anew without a configuration.
test.serial(
  'guards against a host that starts and waits for one list after the other beside a relay without copies',
  async (t) => {
    const { clock, source } = createFollower(t, 1, ['m']);
    source.applyKindStates([createState({ kind: 'm' })], 1);
    const lists = ['k', 'l'].map((kind) => source.listObjects(kind));
    let listed = 0;
    for (const list of lists) void list.then(() => (listed += 1));
    for (let turn = 0; turn < 6; turn += 1) {
      source.applyKindStates([createState({ kind: 'm' })], 1);
      await clock.tickAsync(400);
    }
    t.is(listed, 2);
  },
);
