import { createConfigFloor } from '@laburnumshift/confirm-config';
import type { HostChannel } from '@laburnumshift/host-channel';
import type { RelayPlan } from '@laburnumshift/share-load';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';

type Handler = Parameters<HostChannel['handleMessages']>[1];
const HOSTS = ['a', 'b', 'c', 'home'].map((host, index) => ({
  host,
  failureDomain: 'north',
  address: `10.0.0.${String(index)}:7700`,
  size: 1,
}));

/** Starts hosts that exchange messages without loss; `versions` are those of their configurations. */
const startHosts = (
  t: ExecutionContext,
  versions: Record<string, number | undefined>,
  isRelayed = false,
  ages: Record<string, number> = {},
  held: { readonly by: string; readonly messages: (() => void)[] } = { by: '', messages: [] },
) => {
  const clock = installClock();
  const handlers = new Map<string, Handler>();
  let isRestored = false;
  let notifyRestore: (() => void)[] = [];
  const startHost = (name: string, isFirstStart = false, unknown: readonly string[] = []) => {
    const self = HOSTS.find(({ host }) => host === name) ?? HOSTS[0];
    if (self === undefined) throw new RangeError(name);
    const others = HOSTS.filter((peer) => peer !== self && !unknown.includes(peer.host));
    const home = others.filter(({ host }) => host === 'home');
    const plan = {
      reportTo: isRelayed ? home : others,
      otherRelays: [],
      isRelay: isRelayed && name === 'home',
    };
    const floor = createConfigFloor({
      self,
      channel: {
        sendMessage: (addresses, message) => {
          for (const address of addresses) {
            const sendNow = (): void => void handlers.get(address)?.(message, self.address);
            if (HOSTS.find((peer) => peer.address === address)?.host === held.by) held.messages.push(sendNow);
            else sendNow();
          }
        },
        handleMessages: (_, handler) => handlers.set(self.address, handler),
      },
      listPeers: () => others,
      getPlan: () => plan as unknown as RelayPlan,
      era: {
        getEra: () => (isRestored ? 2 : 1),
        getAgeMs: () => (isFirstStart && !isRestored ? Infinity : 0),
        watchRestores: (handler) => notifyRestore.push(handler),
      },
      isFirstStart,
      getConfigVersion: () => versions[name],
      getConfigAgeMs: () => ages[name] ?? 0,
    });
    t.teardown(floor.close);
    return floor;
  };
  t.teardown(() => {
    clock.uninstall();
  });
  const resetStore = (): void => {
    isRestored = true;
    for (const notify of notifyRestore) notify();
    notifyRestore = [];
  };
  return { clock, startHost, resetStore };
};

test.serial('a host that starts after a restore does not rely on an older configuration', async (t) => {
  const versions: Record<string, number | undefined> = { a: 5, b: undefined };
  const { clock, startHost, resetStore } = startHosts(t, versions);
  startHost('a', true);
  resetStore();
  await clock.tickAsync(3000);
  const started = startHost('b');
  versions.b = 3;
  t.true(started.isBehind(), 'before it can have heard of others');
  await clock.tickAsync(450);
  t.true(started.isBehind(), 'while its configuration is older');
  versions.b = 5;
  t.false(started.isBehind());
});

test.serial(
  'a host that missed the last version before a restore does not rely on its configuration',
  async (t) => {
    const { clock, startHost, resetStore } = startHosts(t, { a: 5, b: 4 });
    const [, behind] = [startHost('a', true), startHost('b', true)];
    t.false(behind.isBehind());
    resetStore();
    await clock.tickAsync(10);
    t.true(behind.isBehind());
  },
);

test.serial(
  'a home that starts after a restore tells its hosts which configuration is too old',
  async (t) => {
    const { clock, startHost, resetStore } = startHosts(t, { a: 5, b: 3, home: 3 }, true);
    const home = startHost('home', true);
    startHost('a', true);
    const follower = startHost('b', true);
    resetStore();
    await clock.tickAsync(10);
    t.true(home.isBehind());
    t.true(follower.isBehind());
  },
);

test.serial(
  'a host that starts with the whole fleet, or beside no resetStore, is not kept from its configuration',
  async (t) => {
    const { clock, startHost } = startHosts(t, { a: 1, b: 1 });
    t.false(startHost('a', true).isBehind());
    const restarted = startHost('b');
    await clock.tickAsync(450);
    t.false(restarted.isBehind());
  },
);

test.serial('a host that is not registered yet hears which configuration is too old', async (t) => {
  const versions: Record<string, number | undefined> = { a: 5, b: 3 };
  const { clock, startHost, resetStore } = startHosts(t, versions);
  startHost('a', true, ['b']);
  resetStore();
  const started = startHost('b');
  await clock.tickAsync(450);
  t.true(started.isBehind());
});

test.serial('a host waits for no answer of hosts that are gone for longer than a second', async (t) => {
  const { clock, startHost } = startHosts(t, { a: 1 });
  const restarted = startHost('a');
  t.true(restarted.isBehind());
  await clock.tickAsync(1000);
  t.false(restarted.isBehind());
});

test.serial(
  'a host that the store confirmed long ago relies on the confirmation of another host',
  async (t) => {
    const { clock, startHost, resetStore } = startHosts(t, { a: 5, b: 5 }, false, { a: 1000, b: 4500 });
    const [, late] = [startHost('a', true), startHost('b', true)];
    t.is(late.getAgeMs(), 4500);
    resetStore();
    await clock.tickAsync(10);
    t.true(late.getAgeMs() < 1100);
  },
);

test.serial('the confirmation of a newer version does not make an older configuration fresh', async (t) => {
  const { clock, startHost } = startHosts(t, { a: 6, b: 5 }, false, { a: 0, b: 4500 });
  const old = startHost('b', true);
  startHost('a');
  await clock.tickAsync(450);
  t.true(old.getAgeMs() >= 4500);
});

// A host that wakes reads what waited in its socket, with ages of the time at which it was sent.
for (const [name, isAsking] of [
  ['a question of a host that starts', false],
  ['an answer to its own question', true],
] as const)
  test.serial(`${name} that waited while the host was suspended confirms no old configuration`, async (t) => {
    const held = { by: 'a', messages: [] as (() => void)[] };
    const ages = { a: 300, b: 20 };
    const { clock, startHost, resetStore } = startHosts(t, { a: 5, b: 5 }, false, ages, held);
    const woken = startHost('a', true);
    startHost('b', isAsking);
    if (isAsking) resetStore();
    await clock.tickAsync(1000);
    t.true(held.messages.length > 0);
    await clock.tickAsync(3000);
    ages.a += 4000;
    for (const sendNow of held.messages.splice(0)) sendNow();
    // The last question was sent within the first second.
    t.true(woken.getAgeMs() >= 3000, String(woken.getAgeMs()));
  });
