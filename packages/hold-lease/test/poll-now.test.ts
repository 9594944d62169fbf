import { holdLease, type Lease } from '@laburnumshift/hold-lease';
import { installClock } from '@laburnumshift/test-utils';
import type { ReadResult, WriteResult } from '@laburnumshift/types';
import test from 'ava';

const TIMES = { holdMs: 1200, takeoverMs: 1400, renewMs: 400, pollMs: 300 };

test.serial(
  'a host with a long poll pause takes over an unrenewed lease in time after pollNow',
  async (t) => {
    const clock = installClock();
    let version = 0;
    let value: unknown;
    const platform = {
      readObject: <T>(): Promise<ReadResult<T>> =>
        Promise.resolve(
          version === 0
            ? { kind: 'absent' }
            : { kind: 'found', object: { kind: 'lease', name: 'orders', version, value: value as T } },
        ),
      writeObject: (_kind: string, _name: string, next: unknown, ifVersion: number): Promise<WriteResult> => {
        if (ifVersion !== version) return Promise.resolve({ kind: 'conflict', version });
        version += 1;
        value = next;
        return Promise.resolve({ kind: 'written', version });
      },
    };
    let hasWork = false;
    const start = (host: string, getPollMs: () => number): Lease => {
      const lease = holdLease({
        name: 'orders',
        self: { host, incarnation: 1 },
        durations: TIMES,
        platform,
        getPollMs,
      });
      t.teardown(lease.close);
      return lease;
    };
    t.teardown(() => {
      clock.uninstall();
    });
    const holder = start('one', () => TIMES.pollMs);
    await clock.tickAsync(100);
    const other = start('two', () => (hasWork ? TIMES.pollMs : 3000));
    await clock.tickAsync(3100);
    t.is(holder.getFencingToken(), 1);

    hasWork = true;
    other.pollNow();
    await clock.tickAsync(500);
    holder.close();
    await clock.tickAsync(TIMES.takeoverMs + 2 * TIMES.pollMs + TIMES.renewMs);
    t.is(other.getFencingToken(), 2);
  },
);
