import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';
import { createCircuitBreaker } from '../src/create-circuit-breaker.js';

test.serial('calls that fail together do not delay the next probe more than one of them', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const breaker = createCircuitBreaker(() => 0);
  const sentMs = performance.now();
  await clock.tickAsync(100);
  for (let call = 0; call < 4; call += 1) breaker.recordOutcome(false, sentMs);
  await clock.tickAsync(310);
  t.true(breaker.admitCall());
});
