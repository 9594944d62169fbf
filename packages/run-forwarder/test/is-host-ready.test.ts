import { isHostReady } from '@laburnumshift/run-forwarder';
import test from 'ava';

const READY = { isDraining: false, isComplete: true, configAgeMs: 900, revokeMs: 5000 };

test('a host that knows its fleet is ready', (t) => {
  t.true(isHostReady(READY));
  t.true(isHostReady({ ...READY, configAgeMs: 60_000, revokeMs: undefined }));
});

test('a host that stops, knows nothing yet or lost the store is not ready', (t) => {
  t.false(isHostReady({ ...READY, isDraining: true }));
  t.false(isHostReady({ ...READY, isComplete: false }));
  t.false(isHostReady({ ...READY, configAgeMs: 3100 }));
  t.false(isHostReady({ ...READY, configAgeMs: Infinity }));
});
