import { holdLease } from '@laburnumshift/hold-lease';
import { installClock } from '@laburnumshift/test-utils';
import type { WriteResult } from '@laburnumshift/types';
import test from 'ava';

test.serial(
  'a holder loses its lease during a suspension of the host in which the monotonic clock stood still',
  async (t) => {
    const clock = installClock();
    let version = 0;
    const lease = holdLease({
      name: 'orders',
      self: { host: 'one', incarnation: 1 },
      durations: { holdMs: 1200, takeoverMs: 1400, renewMs: 400, pollMs: 300 },
      platform: {
        readObject: () => Promise.resolve({ kind: 'absent' }),
        writeObject: () => {
          version += 1;
          return Promise.resolve<WriteResult>({ kind: 'written', version });
        },
      },
    });
    t.teardown(() => {
      lease.close();
      clock.uninstall();
    });
    await clock.tickAsync(10);
    t.is(lease.getFencingToken(), 1);
    clock.setSystemTime(Date.now() + 3000);
    t.is(lease.getFencingToken(), undefined);
    t.is(lease.getRemainingMs(), 0);
  },
);
