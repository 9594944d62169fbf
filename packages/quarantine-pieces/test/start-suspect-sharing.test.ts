import type { HostChannel } from '@laburnumshift/host-channel';
import { createSuspectTable, startSuspectSharing } from '@laburnumshift/quarantine-pieces';
import { chooseRelays, type PeerHost } from '@laburnumshift/share-load';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';

const PIECE = [{ trait: 'm/d', position: 1 }];
type Handler = Parameters<HostChannel['handleMessages']>[1];

/** Opens hosts that are joined by a network in memory, which loses the datagrams that `isLost` selects by number. */
const openHosts = (t: ExecutionContext, count: number, isLost: (datagram: number) => boolean) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const handlers = new Map<string, Handler>();
  const counts = { datagrams: 0, bytes: 0 };
  const peers = Array.from({ length: count }, (_, index): PeerHost => ({
    host: `h${String(index)}`,
    failureDomain: `d${String(index % 3)}`,
    address: `10.0.0.${String(index)}:1`,
    size: 1,
  }));
  const openHost = (self: PeerHost) => {
    const others = peers.filter(({ host }) => host !== self.host);
    const table = createSuspectTable(
      () => count,
      () => 0.5,
    );
    const stop = startSuspectSharing({
      self,
      table,
      listPeers: () => others,
      getPlan: () => chooseRelays(self, others, () => false),
      channel: {
        sendMessage: (addresses, message) => {
          for (const to of addresses) {
            counts.datagrams += 1;
            counts.bytes += JSON.stringify(message).length;
            if (isLost(counts.datagrams)) continue;
            setTimeout(() => handlers.get(to)?.(message, self.address), 2);
          }
        },
        handleMessages: (_, handler) => {
          handlers.set(self.address, handler);
        },
      },
    });
    return { self, table, stop };
  };
  return { clock, counts, handlers, hosts: peers.map(openHost), openHost };
};
const readVerdicts = (hosts: readonly { readonly table: ReturnType<typeof createSuspectTable> }[]) =>
  hosts.map(({ table }) => table.checkTraits(PIECE).kind);

for (const count of [3, 40])
  test.serial(
    `guards against ${String(count)} hosts that do not learn of each other's crashes when datagrams are lost`,
    async (t) => {
      const { clock, hosts, openHost, counts } = openHosts(t, count, (datagram) => datagram % 3 === 0);
      for (const [index, host] of [hosts.at(-1), hosts.at(-2)].entries()) {
        host?.table.recordCrash({ server: `e${String(index)}`, bornMs: 1, atMs: performance.now() }, PIECE);
        await clock.tickAsync(700);
      }
      await clock.tickAsync(1500);
      t.true(readVerdicts(hosts).every((verdict) => verdict === 'refused'));
      const [first] = hosts;
      const restarted = first && openHost(first.self);
      await clock.tickAsync(4000);
      t.is(restarted?.table.checkTraits(PIECE).kind, 'refused', 'a restarted host learns of the conviction');
      const before = counts.datagrams;
      await clock.tickAsync(10_000);
      t.true(
        (counts.datagrams - before) / count / 10 <= count,
        'at most one datagram a second to each other host',
      );
      hosts[1]?.table.recordSurvival(PIECE, performance.now());
      await clock.tickAsync(2500);
      t.true(readVerdicts(hosts.slice(1)).every((verdict) => verdict === 'allowed'));
    },
  );

test.serial('guards against malformed messages and messages of strangers', async (t) => {
  const { clock, hosts, handlers } = openHosts(t, 2, () => false);
  const suspect = [
    'm/d',
    1,
    [
      ['a', 1, 900],
      ['b', 1, 100],
    ],
    null,
    null,
  ];
  const handle = handlers.get('10.0.0.0:1');
  for (const message of [
    [6],
    [6, 'h1', 'x'],
    [6, 'h1', [['m/d', 1, [], null, null]]],
    [6, 'h1', [['m/d', 1, [['a', 1, -5]], null, null]]],
    [6, 'h1', Array.from({ length: 65 }, () => suspect)],
  ])
    t.false(handle?.(message, '10.0.0.1:1'));
  t.false(handle?.([6, 'h1', [suspect]], '10.9.9.9:1'));
  await clock.tickAsync(300);
  t.deepEqual(readVerdicts(hosts), ['allowed', 'allowed']);
  t.true(handle?.([6, 'h1', [suspect]], '10.0.0.1:1'));
  await clock.tickAsync(300);
  t.is(readVerdicts(hosts)[0], 'refused');
});
