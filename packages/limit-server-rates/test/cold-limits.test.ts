import { installClock } from '@laburnumshift/test-utils';
import { createColdLimits, startColdSharing, type ColdLimits } from '@laburnumshift/limit-server-rates';
import test from 'ava';

const STEP_MS = 10;
const WINDOW_MS = 1000;
const COLD_PER_S = 14;
const SERVER = { id: 'engine', coldUntilMs: Infinity };

const buildHosts = (count: number) =>
  Array.from({ length: count }, (_, index) => ({
    host: `host-${String(index)}`,
    failureDomain: `domain-${String(index % 3)}`,
    address: `10.0.0.${String(index)}:7000`,
    size: 1 + (index % 7),
  }));

/**
 * Plays hosts that hear nothing of each other and send all the calls that their limits allow, and returns when calls were sent.
 *
 * @param isEager whether a host has calls at a time
 * @param restartMs interval at which each host starts again
 */
const simulateHosts = async (
  count: number,
  bounds: { readonly coldOver: number; readonly coldSlack: number },
  {
    isEager = () => true,
    restartMs = Infinity,
  }: { isEager?: (host: number, ms: number) => boolean; restartMs?: number } = {},
): Promise<readonly number[]> => {
  const clock = installClock();
  const hosts = buildHosts(count);
  const start = (index: number): ColdLimits => {
    const [self] = hosts.slice(index);
    if (self === undefined) throw new Error('no such host');
    const peers = hosts.filter((host) => host !== self);
    return createColdLimits({ self, listPeers: () => peers, isJoined: () => true, bounds });
  };
  const limits = hosts.map((_, index) => start(index));
  const sent: number[] = [];
  try {
    for (let nowMs = 0; nowMs < 30_000; nowMs += STEP_MS) {
      for (const [index, own] of limits.entries()) {
        if ((nowMs + index * 90) % restartMs === 0) limits[index] = start(index);
        if (!isEager(index, nowMs) || !own.hasRoom(SERVER, COLD_PER_S)) continue;
        own.takeRoom(SERVER);
        sent.push(nowMs);
      }
      await clock.tickAsync(STEP_MS);
    }
  } finally {
    clock.uninstall();
  }
  return sent;
};
const countMost = (sent: readonly number[]): number =>
  Math.max(0, ...sent.map((first) => sent.filter((ms) => ms >= first && ms < first + WINDOW_MS).length));

const BOUNDS = {
  'with a margin': { coldOver: 1.5, coldSlack: 5 },
  'without a margin': { coldOver: 1, coldSlack: 0 },
};
for (const [name, bounds] of Object.entries(BOUNDS))
  for (const count of [39, 8, 1]) {
    const most = COLD_PER_S * bounds.coldOver + bounds.coldSlack;
    const title = `${String(count)} hosts, a bound ${name}`;
    test.serial(
      `guards against a cold server that gets too many calls from hosts that are all cut off: ${title}`,
      async (t) => {
        const sent = await simulateHosts(count, bounds);
        t.true(countMost(sent) <= most, String(countMost(sent)));
        t.true(sent.length >= 0.5 * COLD_PER_S * 29, String(sent.length));
      },
    );
    test.serial(
      `guards against a burst at a cold server as hosts without calls get some at once: ${title}`,
      async (t) => {
        const sent = await simulateHosts(count, bounds, { isEager: (_, ms) => ms % 9000 > 6000 });
        t.true(countMost(sent) <= most, String(countMost(sent)));
      },
    );
    test.serial(
      `guards against a cold server that gets too many calls as hosts start again and again: ${title}`,
      async (t) => {
        const sent = await simulateHosts(count, bounds, { restartMs: 2700 });
        t.true(countMost(sent) <= most, String(countMost(sent)));
      },
    );
  }

test.serial(
  'guards against calls to cold servers before the other hosts are known, and a refusal without a time',
  async (t) => {
    const clock = installClock();
    const [self] = buildHosts(1);
    if (self === undefined) throw new Error('no host');
    let isJoined = false;
    const limits = createColdLimits({
      self,
      listPeers: () => [],
      isJoined: () => isJoined,
      bounds: BOUNDS['with a margin'],
    });
    await clock.tickAsync(5000);
    t.false(limits.hasRoom(SERVER, COLD_PER_S));
    const { firstMs, perCallMs } = limits.estimateRoom([SERVER], COLD_PER_S);
    t.true(firstMs > 0 && firstMs < 2000 && perCallMs < 100);
    isJoined = true;
    t.false(limits.hasRoom(SERVER, COLD_PER_S));
    await clock.tickAsync(1000);
    t.true(limits.hasRoom(SERVER, COLD_PER_S));
    clock.uninstall();
  },
);

test.serial(
  'guards against cold servers that other hosts do not hear of as a message is lost or malformed',
  async (t) => {
    const clock = installClock();
    const hosts = buildHosts(2);
    const [first, second] = hosts;
    if (first === undefined || second === undefined) throw new Error('no hosts');
    const getPlan = () => ({
      isRelayed: false,
      reportTo: [second],
      otherRelays: [],
      upstream: undefined,
      objectsUpstream: undefined,
      isRelay: false,
    });
    const known: unknown[] = [];
    let messages = 0;
    const receive: ((message: readonly unknown[], from: string) => boolean)[] = [];
    const receiver = startColdSharing({
      self: second,
      listPeers: () => [first],
      getPlan,
      channel: { sendMessage: () => undefined, handleMessages: (_, handler) => receive.push(handler) },
      onCold: (server, coldMs) => known.push([server.id, server.bornMs, coldMs]),
    });
    const sender = startColdSharing({
      self: first,
      listPeers: () => [second],
      getPlan,
      channel: {
        handleMessages: () => undefined,
        sendMessage: (addresses, message) => {
          messages += 1;
          t.deepEqual(addresses, [second.address]);
          if (messages > 1) for (const handler of receive) t.true(handler(message, first.address));
        },
      },
      onCold: () => undefined,
    });
    sender.sendCold({ id: 'engine', bornMs: 7 }, 3000);
    await clock.tickAsync(1000);
    t.deepEqual(known[0], ['engine', 7, 2910]);
    t.is(messages, 3);
    for (const handler of receive) {
      t.false(handler([9, first.host, [['engine', 7, 1e300]]], first.address));
      t.false(handler([9, first.host, [['engine', 7, -1]]], first.address));
      t.false(handler([9, first.host, [['engine', 7, 10]]], '10.9.9.9:1'));
    }
    t.is(known.length, 2);
    receiver.close();
    sender.close();
    clock.uninstall();
  },
);
