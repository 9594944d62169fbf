import { sleep } from '@laburnumshift/clock';
import type { ObjectSource, StoredObject, WatchOutcome } from '@laburnumshift/forward-types';
import { joinRevision } from '@laburnumshift/order-revisions';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import { registerHost } from '../src/register-host.js';

const SELF = { host: 'self', failureDomain: 'a', address: '10.0.0.1:1', size: 0.5 };
const SPEC = { failureDomain: SELF.failureDomain, address: SELF.address, size: SELF.size };
const createStore = (t: ExecutionContext, spec?: unknown, writeMs = 0) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const calls: string[] = [];
  let era = 1;
  let finishWatch: (outcome: WatchOutcome) => void = () => undefined;
  let failures = 0;
  const objects: StoredObject[] = [
    { name: 'peer', revision: 2, spec: { ...SPEC, address: '10.0.0.2:1' }, status: null },
  ];
  const source: ObjectSource = {
    listObjects: (_kind, isStaleAllowed) => {
      calls.push(`list ${String(isStaleAllowed)}`);
      return Promise.resolve({ kind: 'listed', objects, revision: joinRevision({ era, revision: 5 }) });
    },
    watchChanges: () =>
      new Promise((resolve) => {
        finishWatch = resolve;
      }),
    writeStatus: () => Promise.resolve(true),
  };
  const leases = {
    readObject: () => {
      calls.push('read');
      return Promise.resolve({
        kind: 'found',
        object: { kind: 'hosts', name: 'self', version: joinRevision({ era, revision: 3 }), value: spec },
      });
    },
    writeObject: (_kind: string, _name: string, _value: unknown, ifVersion: number) => {
      calls.push(`write ${String(ifVersion)}`);
      failures -= 1;
      if (failures >= 0) return Promise.resolve({ kind: 'unavailable', detail: 'status 503' });
      const result =
        ifVersion === 0 && spec !== undefined
          ? { kind: 'conflict', version: 3 }
          : { kind: 'written', version: joinRevision({ era, revision: 4 }) };
      return writeMs === 0 ? Promise.resolve(result) : sleep(writeMs).then(() => result);
    },
  };
  const join = (isFirstStart: boolean) => {
    const hosts = registerHost({ source, leases: leases as never, kind: 'hosts', self: SELF, isFirstStart });
    t.teardown(hosts.close);
    return hosts;
  };
  /** Begins an era in which the store has no host, and refuses some writes. */
  const clearHosts = (failedWrites: number): void => {
    calls.length = 0;
    objects.length = 0;
    era += 1;
    failures = failedWrites;
    finishWatch({ kind: 'compacted' });
  };
  const replyToWatch = (outcome: WatchOutcome): void => {
    finishWatch(outcome);
  };
  return { clock, calls, join, clearHosts, replyToWatch };
};

test.serial('a start of a host costs no more than one write and one list that may be stale', async (t) => {
  const { clock, calls, join } = createStore(t);
  const hosts = join(false);
  await clock.tickAsync(10);
  t.deepEqual(calls.sort(), ['list true', 'write 0']);
  t.deepEqual(
    hosts.listPeers().map(({ host }) => host),
    ['peer'],
  );
});

test.serial('a restarted host does not write an unchanged registration again', async (t) => {
  const { clock, calls, join } = createStore(t, SPEC);
  join(false);
  await clock.tickAsync(10);
  t.deepEqual(calls.sort(), ['list true', 'read', 'write 0']);
});

test.serial(
  'a host that restarts with another address does not keep its outdated registration',
  async (t) => {
    const { clock, calls, join } = createStore(t, { ...SPEC, address: '10.9.9.9:1' });
    join(false);
    await clock.tickAsync(10);
    t.true(calls.includes(`write ${String(joinRevision({ era: 1, revision: 3 }))}`));
  },
);

test.serial(
  'on the first start of a fleet, a host does not list the others before they have registered',
  async (t) => {
    const { clock, calls, join } = createStore(t);
    join(true);
    await clock.tickAsync(400);
    t.deepEqual(calls, ['write 0']);
    await clock.tickAsync(100);
    t.deepEqual(calls, ['write 0', 'list true']);
  },
);

test.serial('a restored store that lacks the hosts does not leave them without each other', async (t) => {
  const { clock, calls, join, clearHosts } = createStore(t);
  const hosts = join(false);
  await clock.tickAsync(10);
  for (const failedWrites of [0, 2]) {
    clearHosts(failedWrites);
    await clock.tickAsync(failedWrites * 1000 + 10);
    t.deepEqual(calls, ['list false', ...Array.from({ length: failedWrites + 1 }, () => 'write 0')]);
    t.deepEqual(
      hosts.listPeers().map(({ host }) => host),
      ['peer'],
    );
  }
});

for (const writeMs of [0, 1000])
  test.serial(
    `a host does not stay unregistered when the store is restored before its first list, with writes of ${String(writeMs)} ms`,
    async (t) => {
      const { clock, calls, join, clearHosts } = createStore(t, undefined, writeMs);
      join(true);
      await clock.tickAsync(100);
      t.deepEqual(calls, ['write 0']);
      clearHosts(0);
      await clock.tickAsync(400 + 2 * writeMs);
      t.deepEqual(calls, ['list true', 'write 0']);
      await clock.tickAsync(5000);
      t.is(calls.length, 2);
    },
  );

test.serial('a host registers again when its relay reports a restore and no change', async (t) => {
  const { clock, calls, join, replyToWatch } = createStore(t);
  join(false);
  await clock.tickAsync(10);
  calls.length = 0;
  const ages = { ageMs: 0, changedMs: 0, recoveredMs: 0 };
  replyToWatch({ kind: 'changes', changes: [], revision: joinRevision({ era: 2, revision: 5 }), ages });
  await clock.tickAsync(10);
  t.deepEqual(calls, ['write 0']);
});
