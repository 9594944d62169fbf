import type { CopyState } from '@laburnumshift/forward-types';
import { MESSAGE_KINDS, type HostMessage } from '@laburnumshift/host-channel';
import { createLoadSharing, type PeerHost, type LoadSharingOptions } from '@laburnumshift/share-load';
import { installClock } from '@laburnumshift/test-utils';
import { createServerTracker, createServerNotices } from '@laburnumshift/track-engines';
import test, { type ExecutionContext } from 'ava';

type Handler = (message: readonly unknown[], from: string) => boolean;

/** Creates hosts in one process that exchange messages with a fixed delay on a fake clock. */
const createFleet = (t: ExecutionContext, count: number, delayMs: number) => {
  const clock = installClock();
  const peers: PeerHost[] = Array.from({ length: count }, (_, index) => ({
    host: `h${String(index)}`,
    failureDomain: ['a', 'b'][index % 2] ?? '',
    address: `10.0.0.${String(index)}:1`,
    size: index < 4 ? 2 : 1,
  }));
  const handlers = new Map<string, Map<unknown, Handler>>();
  const lost = new Set<string>();
  const sent: { readonly from: string; readonly kind: unknown }[] = [];
  const hosts = peers.map((self) => {
    const own = new Map<unknown, Handler>();
    handlers.set(self.address, own);
    const others = peers.filter((peer) => peer !== self);
    const serverTracker = createServerTracker();
    const states: {
      readonly host: string;
      readonly states: readonly CopyState[];
      readonly elapsedMs: number;
    }[] = [];
    const settled: string[] = [];
    const options: LoadSharingOptions = {
      self,
      bornMs: 1,
      serverTracker,
      notices: createServerNotices(),
      listPeers: () => others,
      listObjectStates: () => [{ kind: 'k', revision: 9, newest: 7, ageMs: 100, recoveredMs: Infinity }],
      onObjectStates: (host, receivedStates, elapsedMs) =>
        states.push({ host, states: receivedStates, elapsedMs }),
      getSettledNumber: () => 17,
      onPlacementRequestsSettled: (host, bornMs, number) =>
        settled.push(`${host} ${String(bornMs)} ${String(number)}`),
      channel: {
        handleMessages: (kind, handler) => own.set(kind, handler),
        sendMessage: (addresses: readonly string[], message: HostMessage) => {
          sent.push({ from: self.host, kind: message[0] });
          for (const to of addresses)
            setTimeout(() => {
              if (!lost.has(self.address) && !lost.has(to))
                handlers.get(to)?.get(message[0])?.(message, self.address);
            }, delayMs);
        },
      },
    };
    return { self, serverTracker, states, settled, sharing: createLoadSharing(options) };
  });
  t.teardown(() => {
    for (const { sharing } of hosts) sharing.close();
    clock.uninstall();
  });
  return { clock, hosts, lost, sent };
};

test.serial(
  'a relay reports the states of its copies to its followers, and their age is never underestimated',
  async (t) => {
    const delayMs = 70;
    const { clock, hosts } = createFleet(t, 20, delayMs);
    await clock.tickAsync(3000);
    const follower = hosts.find(({ sharing }) => !sharing.getPlan().isRelay);
    const upstream = follower?.sharing.getPlan().upstream?.host;
    const statesOfUpstream = follower?.states.filter(({ host }) => host === upstream) ?? [];
    t.true(statesOfUpstream.length >= 5);
    t.deepEqual(statesOfUpstream[0]?.states, [
      { kind: 'k', revision: 9, newest: 7, ageMs: 100, recoveredMs: Infinity },
    ]);
    // One way takes 70 ms; a host can bound it only by the round-trip time.
    t.true(statesOfUpstream.every(({ elapsedMs }) => elapsedMs >= delayMs && elapsedMs <= 2 * delayMs + 1));
  },
);

test.serial('a relay receives the settled placement request numbers of its hosts', async (t) => {
  const { clock, hosts } = createFleet(t, 20, 1);
  await clock.tickAsync(1000);
  const first = hosts.find(({ sharing }) => sharing.getPlan().upstream === undefined);
  t.true(first?.settled.some((line) => line.endsWith(' 1 17')));
});

test.serial(
  'a relay that stops answering is replaced within 1.9 seconds, and used again after it answers',
  async (t) => {
    const { clock, hosts, lost } = createFleet(t, 20, 1);
    await clock.tickAsync(3000);
    const [follower] = hosts.filter(({ sharing }) => !sharing.getPlan().isRelay);
    const first = follower?.sharing.getPlan().upstream;
    lost.add(first?.address ?? '');
    await clock.tickAsync(1900);
    const second = follower?.sharing.getPlan().upstream;
    t.not(second?.host, first?.host);
    t.true((follower?.states.filter(({ host }) => host === second?.host).length ?? 0) > 0);
    lost.clear();
    await clock.tickAsync(21_500);
    t.is(follower?.sharing.getPlan().upstream?.host, first?.host);
  },
);

test.serial(
  'in a large fleet an idle host sends few reports, and a busy one no more than its minimum interval allows',
  async (t) => {
    const { clock, hosts, sent } = createFleet(t, 40, 1);
    await clock.tickAsync(4000);
    const [idle, busy] = hosts.filter(({ sharing }) => !sharing.getPlan().isRelay);
    const since = sent.length;
    for (let turn = 0; turn < 200; turn += 1) {
      busy?.serverTracker.beginCall('e', { uncachedTokens: 1, totalTokens: 1 }).finish('served');
      await clock.tickAsync(20);
    }
    const count = (host: string | undefined): number =>
      sent.slice(since).filter(({ from, kind }) => from === host && kind === MESSAGE_KINDS.hostLoad).length;
    // Four seconds allow ten reports to the followed relay and every third of them to the other relay.
    t.true(count(idle?.self.host) <= 14, String(count(idle?.self.host)));
    t.true(count(busy?.self.host) <= 37, String(count(busy?.self.host)));
  },
);

test.serial(
  'the first relay of the fleet follows no host, and the first relays of the other domains follow it',
  async (t) => {
    const { clock, hosts } = createFleet(t, 20, 1);
    await clock.tickAsync(1000);
    const firsts = hosts.filter(({ sharing }) => sharing.getPlan().upstream === undefined);
    const roots = firsts.filter(({ sharing }) => sharing.getPlan().objectsUpstream === undefined);
    t.is(firsts.length, 2);
    t.is(roots.length, 1);
    const followed = firsts.filter((host) => !roots.includes(host));
    t.true(followed.every(({ sharing }) => sharing.getPlan().objectsUpstream?.host === roots[0]?.self.host));
  },
);
