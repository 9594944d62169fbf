import { createColdLimits, createServerLimits } from '@laburnumshift/limit-server-rates';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';

const SELF = { host: 'self', failureDomain: 'north', address: '10.0.0.1:7000', size: 1 };
const SERVER = { id: 'engine', bornMs: 1, service: 'models', coldUntilMs: Infinity };
const STEPS = 12_000;
const STEP_MS = 7;

/** Sends each call that the limits allow, with a number of reads before each step; returns the steps at which calls were sent, and the random draws of the buckets. */
const runLimits = async (
  kind: 'server' | 'cold',
  reads: number,
): Promise<{ readonly sent: readonly number[]; readonly draws: number }> => {
  const clock = installClock();
  let draws = 0;
  const serverLimits = createServerLimits({
    self: SELF,
    channel: { sendMessage: () => undefined, handleMessages: () => undefined },
    listPeers: () => [],
    getPlan: () => ({ isRelayed: false, isRelay: false, upstream: undefined, reportTo: [], otherRelays: [] }),
    pickRandom: () => {
      draws += 1;
      return 0.37;
    },
  } as unknown as Parameters<typeof createServerLimits>[0]);
  const coldLimits = createColdLimits({
    self: SELF,
    listPeers: () => [],
    isJoined: () => true,
    bounds: { coldOver: 1.5, coldSlack: 5 },
  });
  const [own, reader] =
    kind === 'server'
      ? [serverLimits, serverLimits.getReader()]
      : [
          { ...coldLimits, hasRoom: (server: typeof SERVER) => coldLimits.hasRoom(server, 4) },
          {
            takeRoom: () => undefined,
            hasRoom: (server: typeof SERVER) => coldLimits.getReader().hasRoom(server, 4),
          },
        ];
  const sent: number[] = [];
  try {
    serverLimits.observeLimit(SERVER, 0.16);
    own.hasRoom(SERVER);
    for (let step = 0; step < STEPS; step += 1) {
      for (let index = 0; index < reads; index += 1) if (reader.hasRoom(SERVER)) reader.takeRoom(SERVER);
      // Without a call for a while, what was wanted before decides about the next one.
      if (step % 1000 < 250 && own.hasRoom(SERVER)) {
        own.takeRoom(SERVER);
        sent.push(step);
      }
      await clock.tickAsync(STEP_MS);
    }
  } finally {
    serverLimits.close();
    clock.uninstall();
  }
  return { sent, draws };
};

for (const kind of ['server', 'cold'] as const)
  test.serial(`guards against reads of a limit that change when calls are sent: ${kind}`, async (t) => {
    const withoutReads = await runLimits(kind, 0);
    t.true(withoutReads.sent.length > 5);
    t.deepEqual(await runLimits(kind, 3), withoutReads);
  });
