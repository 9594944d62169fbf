import { createOrderedStore, joinRevision } from '@laburnumshift/order-revisions';
import { createRelayedSource } from '@laburnumshift/relay-objects';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';

test('a probe from a revision before a restore does not count as an answer of a store that is down', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const down = { era: 2, result: { kind: 'unavailable', reason: 'status 503' } };
  let isDown = false;
  const { source } = createOrderedStore({
    watchChanges: () =>
      Promise.resolve(isDown ? down : { era: 1, result: { kind: 'changes', changes: [], revision: 5 } }),
  } as never);
  const relayed = createRelayedSource(source, { kinds: ['config'], getMaxWaitMs: () => 700 });
  const after = joinRevision({ era: 1, revision: 5 });
  await relayed.watchChanges('config', after, 700);
  isDown = true;
  await relayed.watchChanges('config', after, 700);
  t.true(relayed.isStoreDown());
  await clock.tickAsync(1000);
  await relayed.probeStore();
  t.true(relayed.isStoreDown());
});
