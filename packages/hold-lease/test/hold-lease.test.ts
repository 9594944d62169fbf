import test from 'ava';
import { sleep } from '@laburnumshift/clock';
import { holdLease, type Lease } from '@laburnumshift/hold-lease';
import { installClock } from '@laburnumshift/test-utils';
import type { PlatformClient } from '@laburnumshift/types';

type Mode = 'ok' | 'down' | 'lost';

/** Creates a fake platform with one lease object. Each client has its own fault mode and can be paused. */
function createStore() {
  const store = { version: 0, value: undefined as unknown };
  const openClient = (modes: { now: Mode }, pause: { isOn: boolean }): PlatformClient => {
    const wait = async (): Promise<void> => {
      await sleep(3);
      while (pause.isOn) await sleep(50);
    };
    const client = {
      readObject: async () => {
        await wait();
        if (modes.now === 'down') return { kind: 'unavailable', detail: '' };
        const object = { kind: 'lease', name: 'x', ...store };
        await wait();
        return store.version === 0 ? { kind: 'absent' } : { kind: 'found', object };
      },
      writeObject: async (_k: string, _n: string, value: unknown, ifVersion: number) => {
        await wait();
        if (modes.now === 'down') return { kind: 'unavailable', detail: '' };
        const isDone = ifVersion === store.version;
        if (isDone) Object.assign(store, { version: ifVersion + 1, value });
        await wait();
        if (modes.now === 'lost') return { kind: 'unknown', detail: '' };
        return { kind: isDone ? 'written' : 'conflict', version: store.version };
      },
    };
    return client as unknown as PlatformClient;
  };
  return { openClient };
}

function startContenders() {
  const clock = installClock();
  const store = createStore();
  const contenders = ['a', 'b'].map((host) => {
    const mode = { now: 'ok' as Mode };
    const pause = { isOn: false };
    const platform = store.openClient(mode, pause);
    return { mode, pause, lease: holdLease({ platform, name: 'x', self: { host, incarnation: 1 } }) };
  });
  const leases: Lease[] = contenders.map((c) => c.lease);
  let maxHolders = 0;
  const numbers: number[] = [];
  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 50) {
      await clock.tickAsync(50);
      const held = leases.map((l) => l.getFencingToken()).filter((n) => n !== undefined);
      maxHolders = Math.max(maxHolders, held.length);
      for (const number of held) if (numbers.at(-1) !== number) numbers.push(number);
    }
  };
  return { clock, contenders, leases, run, numbers, getMaxHolders: () => maxHolders };
}

for (const fault of ['paused', 'down', 'lost'] as const) {
  // Guards against two holders at once, and against a lease that nobody takes over from a holder that cannot renew it.
  test.serial(
    `a holder in fault mode ${fault} loses the lease to another node with a higher fencing token`,
    async (t) => {
      const { clock, contenders, leases, run, numbers, getMaxHolders } = startContenders();
      t.teardown(() => {
        clock.uninstall();
      });
      await run(5000);
      for (let round = 0; round < 4; round += 1) {
        const holder = leases.findIndex((l) => l.getFencingToken() !== undefined);
        const contender = contenders[holder];
        if (contender === undefined) {
          t.fail(`nobody holds the lease in round ${String(round)}`);
          return;
        }
        if (fault === 'paused') contender.pause.isOn = true;
        else contender.mode.now = fault;
        await run(7500);
        t.is(leases[holder]?.getFencingToken(), undefined, 'stops in time');
        await run(30_000);
        contender.pause.isOn = false;
        contender.mode.now = 'ok';
        await run(15_000);
      }
      t.is(getMaxHolders(), 1);
      t.deepEqual(
        numbers,
        [...new Set(numbers)].sort((a, b) => a - b),
      );
      t.true(numbers.length >= 4);
      for (const lease of leases) lease.close();
    },
  );
}

// Guards against a planned stop after which nobody holds the lease, and the pool gets no orders, for 10 s.
test.serial('a released lease is taken over at once', async (t) => {
  const { clock, leases, run, getMaxHolders } = startContenders();
  t.teardown(() => {
    clock.uninstall();
  });
  await run(12_000);
  const holder = leases.findIndex((l) => l.getFencingToken() !== undefined);
  t.true((leases[holder]?.getRemainingMs() ?? 0) > 3000);
  void leases[holder]?.release();
  await run(1500);
  t.is(leases[holder]?.getFencingToken(), undefined);
  t.is(leases[1 - holder]?.getFencingToken(), 2);
  t.is(getMaxHolders(), 1);
  for (const lease of leases) lease.close();
});
