import { retryUntilBound } from '@laburnumshift/addresses';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';

const createError = (code: string): Error => Object.assign(new Error(code), { code });
const createOpen = (codes: readonly string[]) => {
  const calls: string[] = [];
  return {
    calls,
    open: () => {
      const code = codes[calls.length];
      calls.push(code ?? 'open');
      return code === undefined ? Promise.resolve('open') : Promise.reject(createError(code));
    },
  };
};

test.serial(
  'guards against a start that gives up, or floods the log, while an address is in use',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const { open, calls } = createOpen([
      ...Array<string>(10).fill('EADDRNOTAVAIL'),
      ...Array<string>(10).fill('EADDRINUSE'),
    ]);
    const waits: unknown[] = [];
    const opened = retryUntilBound(open, { timeoutMs: 8000, onWait: (error) => waits.push(error) });
    await clock.tickAsync(3000);
    t.is(await opened, 'open');
    t.deepEqual([calls.length, waits.length], [21, 1]);
  },
);

test.serial(
  'guards against a start that waits for ever for an address, or for one that it may not open',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const inUse = createOpen(Array<string>(1000).fill('EADDRINUSE'));
    const failed = t.throwsAsync(retryUntilBound(inUse.open, { timeoutMs: 8000, onWait: () => undefined }));
    await clock.tickAsync(9000);
    t.is(((await failed) as NodeJS.ErrnoException).code, 'EADDRINUSE');
    const denied = createOpen(['EACCES']);
    await t.throwsAsync(retryUntilBound(denied.open, { timeoutMs: 8000, onWait: () => undefined }));
    t.is(denied.calls.length, 1);
  },
);

test.serial('guards against a wait for an address that goes on after a stop signal', async (t) => {
  const { open } = createOpen(Array<string>(1000).fill('EADDRINUSE'));
  const stop = new AbortController();
  const failed = t.throwsAsync(
    retryUntilBound(open, { timeoutMs: 60_000, signal: stop.signal, onWait: () => undefined }),
  );
  stop.abort();
  t.is(((await failed) as NodeJS.ErrnoException).code, 'EADDRINUSE');
});
