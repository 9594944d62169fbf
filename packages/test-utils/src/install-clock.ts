import fakeTimers from '@sinonjs/fake-timers';

/** Pauses the runtime's clock; advance it with `tickAsync` and restore it with `uninstall`. */
export function installClock(startMs = 1_700_000_000_000): ReturnType<typeof fakeTimers.install> {
  return fakeTimers.install({
    now: startMs,
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'],
  });
}
