import { sleep } from '@laburnumshift/clock';
import type { RelayedChanges } from '@laburnumshift/forward-types';
import { createEventsRelay, type EventsRelayOptions } from '@laburnumshift/relay-events';
import { findFreePort, waitFor } from '@laburnumshift/test-utils';
import { createServerTracker } from '@laburnumshift/track-engines';
import test, { type ExecutionContext } from 'ava';

type Objects = EventsRelayOptions['objects'];
const findAddress = async (): Promise<string> => `127.0.0.1:${String(await findFreePort())}`;
const KNOWN_CHANGES: RelayedChanges = {
  after: 3,
  changes: [],
  revision: 15,
  ageMs: 40,
  changedMs: 0,
  recoveredMs: Infinity,
};
/** Starts a relay and counts its event reads, the answers and stops that it reports, and its probes of the store. */
const startHost = async (
  t: ExecutionContext,
  options: Partial<EventsRelayOptions>,
  objects: Partial<Objects> = {},
) => {
  const address = await findAddress();
  const host = { reads: 0, answers: 0, stops: 0, probes: 0 };
  const serverTracker = createServerTracker();
  const relay = await createEventsRelay({
    control: {
      readEvents: () => {
        host.reads += 1;
        return sleep(50).then(() => undefined);
      },
    },
    serverTracker,
    address,
    getUpstream: () => undefined,
    readObjects: () => KNOWN_CHANGES,
    objects: {
      listWantedKinds: () => [['servers', 3]],
      applyRelayedChanges: () => (host.answers += 1) > 0,
      stopFollowing: () => (host.stops += 1),
      isStoreDown: () => false,
      probeStore: () => {
        host.probes += 1;
        return Promise.resolve();
      },
      ...objects,
    },
    ...options,
  });
  relay.startReading('e', '10.0.0.1:80', 10);
  t.teardown(relay.close);
  return { address, relay, host };
};

test('hosts without cache events exchange platform objects, read no engine and count no followers', async (t) => {
  const first = await startHost(t, { wantsEvents: () => false });
  const second = await startHost(t, { wantsEvents: () => false, getUpstream: () => first.address });
  await waitFor('an answer', () => second.host.answers > 0, 4000);
  t.false(first.relay.hasFollowers());
  t.is(first.host.reads + second.host.reads, 0);
});

test('a host without cache events does not poll while its upstream reports no changes, and polls at once when told to', async (t) => {
  const first = await startHost(t, { wantsEvents: () => false });
  const second = await startHost(t, { wantsEvents: () => false, getUpstream: () => first.address });
  await waitFor('an answer', () => second.host.answers > 0, 4000);
  const startedMs = performance.now();
  const before = second.host.answers;
  while (performance.now() - startedMs < 2200) {
    second.relay.recordUpToDate();
    await sleep(100);
  }
  t.is(second.host.answers, before);
  second.relay.pollNow();
  await waitFor('the answer', () => second.host.answers > before, 300);
});

test('a host without an upstream for events follows the platform objects of another host and reads the engines itself', async (t) => {
  const root = await startHost(t, {});
  const home = await startHost(t, { getObjectsUpstream: () => root.address });
  await waitFor('answers', () => home.host.answers > 2, 4000);
  t.true(home.host.reads > 0);
  t.is(home.host.stops, 0);
});

test('a long poll for platform objects is answered at once when an object changes', async (t) => {
  let changes: RelayedChanges['changes'] = [];
  const root = await startHost(t, { readObjects: () => ({ ...KNOWN_CHANGES, changes }) });
  const ages: number[] = [];
  const home = await startHost(
    t,
    { getObjectsUpstream: () => root.address },
    {
      applyRelayedChanges: (answers, elapsedMs) => {
        for (const known of answers.values()) if (known?.changes.length === 1) home.answers += 1;
        return ages.push(elapsedMs) > 0;
      },
    },
  ).then(({ host }) => host);
  await waitFor('two answers', () => ages.length > 1, 4000);
  await sleep(60);
  const before = ages.length;
  changes = [{ isRemoved: false, object: { name: 'a', revision: 12, spec: {}, status: null } }];
  const startedMs = performance.now();
  root.relay.notifyChanged();
  await waitFor('the change', () => home.answers > 0, 2000);
  t.true(performance.now() - startedMs < 250);
  t.is(ages.length, before + 1);
  // The time for which the relay holds a long poll is not added to the age of its answer.
  t.true(Math.max(...ages) < 300, ages.join(' '));
});

test('a host that reads the engines itself does not follow the objects of a host whose store is down', async (t) => {
  const root = await startHost(t, {}, { isStoreDown: () => true });
  const home = await startHost(t, { getObjectsUpstream: () => root.address });
  await waitFor('the end of following', () => home.host.stops > 0, 4000);
  t.is(home.host.answers, 0);
});

test('while the store is down, a host fetches platform objects from backups and probes the store', async (t) => {
  const other = await startHost(t, {});
  const stoppedAddress = await findAddress();
  const root = await startHost(
    t,
    { listBackups: () => [stoppedAddress, other.address] },
    { isStoreDown: () => true },
  );
  await waitFor('an answer of the second host', () => root.host.answers > 0, 6000);
  t.true(root.host.probes > 0);
});

const OLD_CHANGES: RelayedChanges = { ...KNOWN_CHANGES, ageMs: 9000 };
/** Part of a host's objects that takes no old copies, and counts the recent ones that it took. */
const createStrictObjects = (): {
  readonly objects: Partial<Objects>;
  readonly countRecent: () => number;
} => {
  let recent = 0;
  return {
    countRecent: () => recent,
    objects: {
      isStoreDown: () => true,
      applyRelayedChanges: (answers) => {
        const isRecent = [...answers.values()].every((known) => (known?.ageMs ?? 0) < 1000);
        if (isRecent) recent += 1;
        return isRecent;
      },
    },
  };
};

// Homes of several failure domains may lose the store at once, and answer each other with the copies that they had.
test('guards against a host that asks a backup with old objects again and again while another backup has recent ones', async (t) => {
  const old = await startHost(t, { readObjects: () => OLD_CHANGES });
  const recent = await startHost(t, {});
  const { objects, countRecent } = createStrictObjects();
  await startHost(t, { listBackups: () => [old.address, recent.address] }, objects);
  await waitFor('recent objects', () => countRecent() > 2, 6000);
  t.pass();
});

test('guards against a home that asks no backup while the store answers neither it nor the first home', async (t) => {
  const root = await startHost(t, {}, { isStoreDown: () => true });
  const backup = await startHost(t, {});
  const { objects, countRecent } = createStrictObjects();
  await startHost(
    t,
    { getObjectsUpstream: () => root.address, listBackups: () => [backup.address] },
    objects,
  );
  await waitFor('recent objects', () => countRecent() > 0, 6000);
  t.pass();
});
