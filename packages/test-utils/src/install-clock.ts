import fakeTimers from '@sinonjs/fake-timers';

/**
 * Replaces the timers, `Date` and `performance` with a paused clock. `tickAsync` advances it, `uninstall` restores the real
 * clock.
 *
 * @param startMs initial time, milliseconds since the Unix epoch
 */
export function installClock(startMs = 1_700_000_000_000): ReturnType<typeof fakeTimers.install> {
  return fakeTimers.install({
    now: startMs,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
}
