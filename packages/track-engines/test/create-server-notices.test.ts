import { installClock } from '@laburnumshift/test-utils';
import { createServerNotices } from '@laburnumshift/track-engines';
import test from 'ava';

const EARLIER = { id: 'e', bornMs: 5000 };
const LATER = { id: 'e', bornMs: 9000 };
const NONE = { isLeaving: false, quietMs: 0, isQuietElsewhere: false };

test('notices of an earlier process do not apply to a later one with the same id', (t) => {
  const notices = createServerNotices();
  notices.markLeaving(EARLIER);
  notices.markQuiet(EARLIER, 1000);
  t.true(notices.getStanding(EARLIER).isLeaving);
  t.deepEqual(notices.getStanding(LATER), NONE);
  notices.markQuiet(LATER, 1000);
  notices.addNotice({ server: 'e', bornMs: EARLIER.bornMs, isLeaving: true, quietMs: 0, ageMs: 10 });
  t.false(notices.getStanding(LATER).isLeaving);
  t.true(notices.getStanding(LATER).quietMs > 0);
});

test.serial(
  'a pause ends on time despite steps of the wall clock, and a later shorter pause does not shorten it',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const notices = createServerNotices();
    notices.markQuiet(EARLIER, 1500.5);
    notices.markQuiet(EARLIER, 100);
    clock.setSystemTime(Date.now() + 3_600_000);
    await clock.tickAsync(1500);
    t.is(notices.getStanding(EARLIER).quietMs, 0.5);
    clock.setSystemTime(Date.now() - 7_200_000);
    await clock.tickAsync(1);
    t.deepEqual(notices.getStanding(EARLIER), NONE);
  },
);

test.serial('a notice passed on keeps its age, and is no longer passed on once it is old', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const [sender, receiver] = [createServerNotices(), createServerNotices()];
  sender.markLeaving(EARLIER);
  sender.markQuiet(EARLIER, 5000);
  await clock.tickAsync(1000);
  for (const notice of sender.listNotices()) receiver.addNotice(notice);
  t.deepEqual(receiver.getStanding(EARLIER), { isLeaving: true, quietMs: 0, isQuietElsewhere: true });
  t.like(receiver.listNotices()[0], { quietMs: 4000, ageMs: 1000 });
  await clock.tickAsync(2001);
  t.deepEqual(receiver.listNotices(), []);
  t.true(receiver.getStanding(EARLIER).isLeaving);
});
