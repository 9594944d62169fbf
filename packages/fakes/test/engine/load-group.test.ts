import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';
import { LoadGroup } from '../../src/engine/load-group.js';

// Guards against loads that never end because each step moves only a part of what is left.
test.serial('four loads at once take about twice the time of one', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const group = new LoadGroup();
  const { signal } = new AbortController();
  let ended = 0;
  for (let i = 0; i < 4; i += 1) {
    void group.runLoad(100, signal).then(() => {
      ended += 1;
    });
  }
  await clock.tickAsync(170);
  t.is(ended, 0);
  await clock.tickAsync(40);
  t.is(ended, 4);
});
