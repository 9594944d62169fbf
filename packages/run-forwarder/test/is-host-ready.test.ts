import { isHostReady } from '@laburnumshift/run-forwarder';
import test from 'ava';

const READY = { isDraining: false, isComplete: true, configAgeMs: 900, revokeMs: 5000 };

test('a host with a complete view of the fleet is not reported as unready', (t) => {
  t.true(isHostReady(READY));
  t.true(isHostReady({ ...READY, configAgeMs: 60_000, revokeMs: undefined }));
});

test('a host that is stopping, has an incomplete view of the fleet or has lost the store is not reported as ready', (t) => {
  t.false(isHostReady({ ...READY, isDraining: true }));
  t.false(isHostReady({ ...READY, isComplete: false }));
  t.false(isHostReady({ ...READY, configAgeMs: 3100 }));
  t.false(isHostReady({ ...READY, configAgeMs: Infinity }));
});
