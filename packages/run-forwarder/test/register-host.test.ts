import type { ObjectSource, StoredObject } from '@laburnumshift/forward-types';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import { registerHost } from '../src/register-host.js';

const SELF = { host: 'self', failureDomain: 'a', address: '10.0.0.1:1', size: 0.5 };
const SPEC = { failureDomain: SELF.failureDomain, address: SELF.address, size: SELF.size };
const createStore = (t: ExecutionContext, spec?: unknown) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const calls: string[] = [];
  const objects: StoredObject[] = [
    { name: 'peer', revision: 2, spec: { ...SPEC, address: '10.0.0.2:1' }, status: null },
  ];
  const source: ObjectSource = {
    listObjects: (_kind, isStaleAllowed) => {
      calls.push(`list ${String(isStaleAllowed)}`);
      return Promise.resolve({ kind: 'listed', objects, revision: 5 });
    },
    watchChanges: () => new Promise(() => undefined),
    writeStatus: () => Promise.resolve(true),
  };
  const leases = {
    readObject: () => {
      calls.push('read');
      return Promise.resolve({
        kind: 'found',
        object: { kind: 'hosts', name: 'self', version: 3, value: spec },
      });
    },
    writeObject: (_kind: string, _name: string, _value: unknown, ifVersion: number) => {
      calls.push(`write ${String(ifVersion)}`);
      return Promise.resolve(
        ifVersion === 0 && spec !== undefined
          ? { kind: 'conflict', version: 3 }
          : { kind: 'written', version: 4 },
      );
    },
  };
  const join = (isFirstStart: boolean) => {
    const hosts = registerHost({ source, leases: leases as never, kind: 'hosts', self: SELF, isFirstStart });
    t.teardown(hosts.close);
    return hosts;
  };
  return { clock, calls, join };
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
    t.true(calls.includes('write 3'));
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
