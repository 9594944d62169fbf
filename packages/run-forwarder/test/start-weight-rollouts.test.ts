import type { BackendEntry } from '@laburnumshift/forward-types';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import { isLeaseCandidate } from '../src/is-lease-candidate.js';
import { startWeightRollouts } from '../src/start-weight-rollouts.js';

const PEERS = Array.from({ length: 195 }, (_, index) => ({
  host: `h${String(index)}`,
  failureDomain: 'a',
  address: `10.0.0.${String(index)}:1`,
  size: 1,
}));
const isCandidate = (host: string): boolean =>
  isLeaseCandidate(
    'weights',
    host,
    PEERS.filter((peer) => peer.host !== host),
  );

/** Creates a host whose store calls for the lease are counted. */
const createHost = (
  t: ExecutionContext,
  self: (typeof PEERS)[number],
  { getEraAgeMs = () => Infinity, isLeaseFree = false } = {},
) => {
  const clock = installClock();
  const engines: BackendEntry[] = [];
  let calls = 0;
  let writes = 0;
  let orders = 0;
  let notifyBackends = (): void => undefined;
  let notifyWeights = (): void => undefined;
  const rollouts = startWeightRollouts(
    {
      settings: { bounds: { leaseMs: 3000 } },
      control: {
        readReport: () =>
          Promise.resolve({
            isExecutingOrder: false,
            orderCount: 0,
            waiting: 0,
            running: 0,
            versions: new Map(),
          }),
        sendOrder: () => {
          orders += 1;
          return Promise.resolve('unknown');
        },
      },
      kinds: { backends: 'servers' },
    } as never,
    {
      self,
      bornMs: 1,
      listPeers: () => PEERS.filter((peer) => peer !== self),
      fleet: {
        listAllBackends: () => engines,
        listWeights: () => [{ model: 'm', version: 2 }],
        getWeights: () => ({ model: 'm', version: 2 }),
        getBackend: (id: string) => engines.find((engine) => engine.id === id),
        watchBackends: (handler: () => void) => (notifyBackends = handler),
        watchWeights: (handler: () => void) => (notifyWeights = handler),
      } as never,
    },
    {
      source: { writeStatus: () => Promise.resolve(true) } as never,
      era: { getEra: () => 0, getAgeMs: getEraAgeMs, watchRestores: () => undefined },
      leases: {
        readObject: () => {
          calls += 1;
          return Promise.resolve({ kind: 'absent' });
        },
        writeObject: () => {
          calls += 1;
          writes += 1;
          return Promise.resolve(
            isLeaseFree ? { kind: 'written', version: writes } : { kind: 'unavailable', detail: '' },
          );
        },
      },
    },
  );
  t.teardown(() => {
    rollouts.stop();
    void rollouts.releaseLease();
    clock.uninstall();
  });
  const addOutdatedEngine = (): void => {
    engines.push({
      id: 'e',
      service: 's',
      address: '10.0.1.1:1',
      failureDomain: 'a',
      slots: 1,
      isDraining: false,
      bornMs: 1,
      versions: new Map([['m', 1]]),
      orderMark: undefined,
    });
    notifyBackends();
    notifyWeights();
  };
  return {
    clock,
    addOutdatedEngine,
    countCalls: () => calls,
    countWrites: () => writes,
    countOrders: () => orders,
    notifyBackends: () => {
      notifyBackends();
    },
  };
};
const [candidate, other] = [
  PEERS.find(({ host }) => isCandidate(host)),
  PEERS.find(({ host }) => !isCandidate(host)),
];

test.serial('a host makes no calls for the lease while all engines have their weights', async (t) => {
  if (candidate === undefined) return t.fail();
  const { clock, countCalls } = createHost(t, candidate);
  await clock.tickAsync(60_000);
  t.is(countCalls(), 0);
});

test.serial(
  'a candidate does not wait for its next poll when a new weight version is published',
  async (t) => {
    if (candidate === undefined) return t.fail();
    const { clock, addOutdatedEngine, countCalls } = createHost(t, candidate);
    await clock.tickAsync(5000);
    addOutdatedEngine();
    await clock.tickAsync(100);
    t.true(countCalls() > 0);
  },
);

test.serial('a candidate does not replace a lease and orders that a restore may have lost', async (t) => {
  if (candidate === undefined) return t.fail();
  const times = { getEraAgeMs: () => performance.now(), isLeaseFree: true };
  const { clock, addOutdatedEngine, countWrites, countOrders } = createHost(t, candidate, times);
  addOutdatedEngine();
  await clock.tickAsync(1300);
  t.is(countWrites(), 0);
  await clock.tickAsync(500);
  t.true(countWrites() > 0);
  await clock.tickAsync(1200);
  t.is(countOrders(), 0);
  await clock.tickAsync(1000);
  t.true(countOrders() > 0);
});

test.serial(
  'hosts that are no candidates request the lease only after nothing has changed for a while',
  async (t) => {
    if (other === undefined) return t.fail();
    const { clock, addOutdatedEngine, notifyBackends, countCalls } = createHost(t, other);
    addOutdatedEngine();
    for (let turn = 0; turn < 20; turn += 1) {
      await clock.tickAsync(1000);
      notifyBackends();
    }
    t.is(countCalls(), 0);
    await clock.tickAsync(10_000);
    t.true(countCalls() > 0);
  },
);
