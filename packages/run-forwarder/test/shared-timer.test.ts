import { createSharedInterval } from '@laburnumshift/clock';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';

test.serial(
  'handlers do not each start a timer, and no timer remains after the last handler is removed',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const watch = createSharedInterval(100);
    const calls: string[] = [];
    const stopFirst = watch(() => calls.push('a'));
    await clock.tickAsync(50);
    const stopSecond = watch(() => {
      calls.push('b');
      stopSecond();
    });
    t.is(clock.countTimers(), 1);
    await clock.tickAsync(50);
    t.deepEqual(calls, ['a', 'b']);
    await clock.tickAsync(100);
    t.deepEqual(calls, ['a', 'b', 'a']);
    stopFirst();
    await clock.tickAsync(100);
    t.is(clock.countTimers(), 0);
    watch(() => calls.push('c'));
    await clock.tickAsync(100);
    t.deepEqual(calls, ['a', 'b', 'a', 'c']);
  },
);

test.serial('a handler that another handler removed in the same period is not called', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const watch = createSharedInterval(100);
  let calls = 0;
  watch(() => {
    stopSecond();
  });
  const stopSecond = watch(() => {
    calls += 1;
  });
  await clock.tickAsync(300);
  t.is(calls, 0);
});
