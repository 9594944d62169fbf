import { installClock } from '@laburnumshift/test-utils';
import { createServerNotices } from '@laburnumshift/track-engines';
import test from 'ava';

const EARLIER = { id: 'e', bornMs: 5000 };
const LATER = { id: 'e', bornMs: 9000 };
const NONE = { isLeaving: false, pauseMs: 0, isPausedElsewhere: false };

test('notices of an earlier process do not apply to a later one with the same id', (t) => {
  const notices = createServerNotices();
  notices.markLeaving(EARLIER);
  notices.markPaused(EARLIER, 1000);
  t.true(notices.getAvailability(EARLIER).isLeaving);
  t.deepEqual(notices.getAvailability(LATER), NONE);
  notices.markPaused(LATER, 1000);
  notices.addNotice({ server: 'e', bornMs: EARLIER.bornMs, isLeaving: true, pauseMs: 0, ageMs: 10 });
  t.false(notices.getAvailability(LATER).isLeaving);
  t.true(notices.getAvailability(LATER).pauseMs > 0);
});

test.serial(
  'a pause ends on time despite steps of the wall clock, and a later shorter pause does not shorten it',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const notices = createServerNotices();
    notices.markPaused(EARLIER, 1500.5);
    notices.markPaused(EARLIER, 100);
    clock.setSystemTime(Date.now() + 3_600_000);
    await clock.tickAsync(1500);
    t.is(notices.getAvailability(EARLIER).pauseMs, 0.5);
    clock.setSystemTime(Date.now() - 7_200_000);
    await clock.tickAsync(1);
    t.deepEqual(notices.getAvailability(EARLIER), NONE);
  },
);

test.serial('a notice passed on keeps its age, and is no longer passed on once it is old', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const [sender, receiver] = [createServerNotices(), createServerNotices()];
  sender.markLeaving(EARLIER);
  sender.markPaused(EARLIER, 5000);
  await clock.tickAsync(1000);
  for (const notice of sender.listNotices()) receiver.addNotice(notice);
  t.deepEqual(receiver.getAvailability(EARLIER), { isLeaving: true, pauseMs: 0, isPausedElsewhere: true });
  t.like(receiver.listNotices()[0], { pauseMs: 4000, ageMs: 1000 });
  await clock.tickAsync(2001);
  t.deepEqual(receiver.listNotices(), []);
  t.true(receiver.getAvailability(EARLIER).isLeaving);
});
