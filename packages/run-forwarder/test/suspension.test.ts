import { watchSuspension } from '@laburnumshift/clock';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';

test.serial(
  'a suspension, which only the wall clock counts, is reported exactly once, and a backward step of the wall clock is not reported',
  async (t) => {
    const clock = installClock();
    const gaps: number[] = [];
    const stop = watchSuspension(
      (gapMs) => gaps.push(gapMs),
      (error) => {
        t.fail(String(error));
      },
    );
    t.teardown(() => {
      stop();
      clock.uninstall();
    });
    await clock.tickAsync(3000);
    t.deepEqual(gaps, []);
    clock.setSystemTime(Date.now() + 3000);
    await clock.tickAsync(1000);
    t.is(gaps.length, 1);
    t.true((gaps[0] ?? 0) >= 2800);
    clock.setSystemTime(Date.now() - 5000);
    await clock.tickAsync(1000);
    t.is(gaps.length, 1);
  },
);
