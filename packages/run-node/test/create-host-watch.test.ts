import test from 'ava';
import { createLogger } from '@laburnumshift/logger';
import { rankMembers } from '@laburnumshift/rank-homes';
import { installClock } from '@laburnumshift/test-utils';
import type { HostEntry } from '@laburnumshift/types';
import { createHostWatch } from '../src/create-host-watch.js';
import { createMembers, createMembership, createMesh, createPlatform } from './doubles.js';

const members = createMembers(6);
const ranked = rankMembers('hosts/d1', members);
const leavingEngine: HostEntry = { host: 'e1', kind: 'engine', failureDomain: 'd1', state: 'leaving' };

function startWatch(rank: number, list: () => readonly HostEntry[] | undefined) {
  const self = ranked[rank];
  if (self === undefined) throw new Error('no member');
  const { mesh, calls, deliver } = createMesh(self.address, () => ({ ok: true, value: null }));
  const { platform, counts } = createPlatform(list);
  const membership = createMembership(members, self);
  const watch = createHostWatch(platform, mesh, () => membership, createLogger('test'));
  return { watch, calls, deliver, counts };
}

test.serial(
  'guards against a leaving server that only the watchers of a failure domain know of',
  async (t) => {
    const clock = installClock();
    let list: readonly HostEntry[] = [];
    const { watch, calls } = startWatch(0, () => list);
    await clock.tickAsync(600);
    calls.length = 0;
    list = [leavingEngine];
    await clock.tickAsync(600);
    t.deepEqual([...watch.getLeaving()], ['e1']);
    t.is(calls.filter((call) => call.type === 'hosts').length, members.length - 1);
    watch.close();
    clock.uninstall();
  },
);

// Nodes that are not watchers read the list rarely and receive changes from the watchers.
test.serial('guards against platform calls that grow with the number of nodes', async (t) => {
  const clock = installClock();
  const { watch, deliver, counts, calls } = startWatch(5, () => []);
  await clock.tickAsync(10_000);
  t.true(counts.lists <= 3, String(counts.lists));
  t.is(calls.length, 0);
  await deliver('hosts', [leavingEngine]);
  t.deepEqual([...watch.getLeaving()], ['e1']);
  watch.close();
  clock.uninstall();
});

test.serial(
  'guards against a leaving server that looks live again when the host list cannot be read',
  async (t) => {
    const clock = installClock();
    let list: readonly HostEntry[] | undefined = [leavingEngine];
    const { watch } = startWatch(0, () => list);
    t.is(watch.listHosts(), undefined);
    await clock.tickAsync(600);
    list = undefined;
    await clock.tickAsync(5_000);
    t.deepEqual([...watch.getLeaving()], ['e1']);
    watch.close();
    clock.uninstall();
  },
);
