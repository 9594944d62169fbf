import dgram from 'node:dgram';
import { openHostChannel } from '@laburnumshift/host-channel';
import { createLoadSharing, type PeerHost } from '@laburnumshift/share-load';
import { waitFor } from '@laburnumshift/test-utils';
import { createServerTracker, createServerNotices } from '@laburnumshift/track-engines';
import { pack } from 'msgpackr';
import test from 'ava';

/** Opens the socket of a host, so that no other test gets its port. */
const openPeer = async (host: string, failureDomain = 'a', size = 1) => {
  const channel = await openHostChannel('127.0.0.1:0');
  const peer: PeerHost = { host, failureDomain, address: channel.address, size };
  return { peer, channel };
};
type OpenPeer = Awaited<ReturnType<typeof openPeer>>;
const openPeers = (count: number, domains: readonly string[], countLarge = 0): Promise<OpenPeer[]> =>
  Promise.all(
    Array.from({ length: count }, (_, index) =>
      openPeer(`h${String(index)}`, domains[index % domains.length], index < countLarge ? 2 : 1),
    ),
  );
const startHost = ({ peer: self, channel }: OpenPeer, listPeers: () => readonly PeerHost[]) => {
  const serverTracker = createServerTracker();
  const notices = createServerNotices();
  const load = createLoadSharing({ self, bornMs: 1, channel, serverTracker, notices, listPeers });
  const sharing = {
    ...load,
    close: () => {
      load.close();
      channel.close();
    },
  };
  return { serverTracker, notices, sharing };
};
/** Starts the hosts of `living`; each knows all hosts of `opened` as peers. */
const startHosts = (living: readonly OpenPeer[], opened = living) =>
  living.map((one) => {
    const others = opened.filter((other) => other !== one).map(({ peer }) => peer);
    return startHost(one, () => others);
  });
const WORK = { uncachedTokens: 100, totalTokens: 300 };

test('a host learns the load of another host at a server, and learns when it ends', async (t) => {
  const [one, two] = [await openPeer('one'), await openPeer('two')];
  const first = startHost(one, () => [two.peer]);
  const second = startHost(two, () => [one.peer]);
  t.teardown(() => {
    first.sharing.close();
    second.sharing.close();
  });
  const call = first.serverTracker.beginCall('e', WORK);
  await waitFor('the load', () => second.sharing.getLoadOfOthers('e').inFlight === 1);
  t.deepEqual(second.sharing.getLoadOfOthers('e'), { inFlight: 1, pendingTokens: 100, heldTokens: 300 });
  t.deepEqual(first.sharing.getLoadOfOthers('e'), { inFlight: 0, pendingTokens: 0, heldTokens: 0 });
  t.is(second.sharing.countCoveredHosts(), 1);
  call.finish('served');
  await waitFor('the end of the load', () => second.sharing.getLoadOfOthers('e').heldTokens === 0);
});

test('outdated, malformed and own messages change nothing, and the loads of a silent host expire', async (t) => {
  const opened = await openPeer('one');
  const port = Number(opened.peer.address.split(':')[1]);
  const { sharing } = startHost(opened, () => []);
  const socket = dgram.createSocket('udp4');
  t.teardown(() => {
    sharing.close();
    socket.close();
  });
  const send = (message: unknown): void => {
    socket.send(Buffer.isBuffer(message) ? message : pack(message), port, '127.0.0.1');
  };
  send([0, 'two', 5, 9, 'a', 1, [['e', 2, 10, 20]]]);
  await waitFor('the message', () => sharing.getLoadOfOthers('e').inFlight === 2);
  send([0, 'two', 5, 8, 'a', 1, [['e', 7, 10, 20]]]);
  send([0, 'two', 4, 99, 'a', 1, [['e', 7, 10, 20]]]);
  send([0, 'one', 5, 1, 'a', 1, [['e', 7, 10, 20]]]);
  send([0, 'three', 5, 1, 'a', 1, [['e', -7, 10, 20]]]);
  send([7, 'three', 5, 1, 'a', 1, [['e', 7, 10, 20]]]);
  send(Buffer.from('no message'));
  send([0, 'four', 5, 1, 'a', 1, [['f', 1, 0, 0]]]);
  await waitFor('the last message', () => sharing.getLoadOfOthers('f').inFlight === 1);
  t.is(sharing.getLoadOfOthers('e').inFlight, 2);
  await waitFor('silence', () => sharing.countCoveredHosts() === 0, 3000);
  t.is(sharing.getLoadOfOthers('e').inFlight, 0);
});

test('in a large fleet a host learns the load of all others through relays and counts each call once', async (t) => {
  const hosts = startHosts(await openPeers(18, ['a', 'b']));
  t.teardown(() => {
    for (const { sharing } of hosts) sharing.close();
  });
  const calls = hosts.map(({ serverTracker }) => serverTracker.beginCall('e', WORK));
  await waitFor(
    'all loads at all hosts',
    () => hosts.every(({ sharing }) => sharing.getLoadOfOthers('e').inFlight === 17),
    8000,
  );
  t.true(hosts.every(({ sharing }) => sharing.countCoveredHosts() === 17));
  calls[0]?.finish('served');
  await waitFor('the end of one', () =>
    hosts.slice(1).every(({ sharing }) => sharing.getLoadOfOthers('e').inFlight === 16),
  );
  t.is(hosts[0]?.sharing.getLoadOfOthers('e').inFlight, 17);
});

test('hosts whose relays have failed choose others and learn all loads again', async (t) => {
  const opened = await openPeers(18, ['a'], 2);
  for (const { channel } of opened.slice(0, 2)) channel.close();
  const living = opened.slice(2);
  const hosts = startHosts(living, opened);
  t.teardown(() => {
    for (const { sharing } of hosts) sharing.close();
  });
  for (const { serverTracker } of hosts) serverTracker.beginCall('e', WORK);
  await waitFor(
    'the loads of those that live',
    () => hosts.every(({ sharing }) => sharing.getLoadOfOthers('e').inFlight === living.length - 1),
    9000,
  );
  t.pass();
});

test('opening a channel on a port in use rejects with EADDRINUSE', async (t) => {
  const { peer, channel } = await openPeer('one');
  t.teardown(channel.close);
  const error = await t.throwsAsync(openHostChannel(peer.address));
  t.is((error as NodeJS.ErrnoException).code, 'EADDRINUSE');
});

test('a notice that a server gave to one host reaches the hosts of all failure domains', async (t) => {
  const hosts = startHosts(await openPeers(18, ['a', 'b']));
  t.teardown(() => {
    for (const { sharing } of hosts) sharing.close();
  });
  const serverProcess = { id: 'e', bornMs: 77 };
  for (const { serverTracker } of hosts) serverTracker.beginCall('e', WORK);
  await waitFor('all hosts', () => hosts.every(({ sharing }) => sharing.countCoveredHosts() === 17), 8000);
  hosts.at(-1)?.notices.markLeaving(serverProcess);
  hosts.at(-1)?.notices.markPaused(serverProcess, 30_000);
  await waitFor(
    'the notice',
    () => hosts.every(({ notices }) => notices.getAvailability(serverProcess).isLeaving),
    2500,
  );
  t.true(hosts.slice(0, -1).every(({ notices }) => notices.getAvailability(serverProcess).isPausedElsewhere));
});

for (const [fleet, count] of [
  ['small', 2],
  ['large', 18],
] as const) {
  test(`in a ${fleet} fleet hosts learn the work of others and what servers told others of their speed and queues`, async (t) => {
    const hosts = startHosts(await openPeers(count, ['a']));
    t.teardown(() => {
      for (const { sharing } of hosts) sharing.close();
    });
    const relays = hosts.filter(({ sharing }) => !sharing.getPlan().isRelayed || sharing.getPlan().isRelay);
    const sender = hosts.find(({ sharing }) => fleet === 'small' || !sharing.getPlan().isRelay);
    const receivers = relays.filter((host) => host !== sender);
    sender?.serverTracker.beginCall('p', { ...WORK, expectedMs: 40_000 });
    sender?.serverTracker.observeLoad('p', { running: 6, waiting: 24, slots: 6, slowness: 9 }, true);
    await waitFor('the work', () =>
      receivers.every(({ sharing }) => sharing.getWorkOfOthers('p').calls === 1),
    );
    for (const { sharing, serverTracker } of receivers) {
      t.true(sharing.getWorkOfOthers('p').ms > 30_000);
      t.true(serverTracker.getState('p').slowness > 1.5);
      t.is(serverTracker.getState('p').queueLimit, 24);
    }
  });
}
