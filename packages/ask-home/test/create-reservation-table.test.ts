import { createReservationTable } from '@laburnumshift/ask-home';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';

const WORK = { uncachedTokens: 100, totalTokens: 300 };
const createFixture = (t: ExecutionContext) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  return { clock, grants: createReservationTable() };
};

test.serial(
  'a reservation is removed as soon as the host reports its placement request, so no call is counted twice',
  (t) => {
    const { grants } = createFixture(t);
    grants.addReservation('h', 1, 4, 'e', WORK);
    grants.addReservation('h', 1, 5, 'e', WORK);
    grants.addReservation('g', 1, 4, 'e', WORK);
    t.deepEqual(grants.getLoad('e'), { inFlight: 3, pendingTokens: 300, heldTokens: 900 });
    grants.clearReservations('h', 1, 4);
    t.is(grants.getLoad('e').inFlight, 2);
    grants.clearReservations('h', 1, 5);
    t.is(grants.getLoad('e').inFlight, 1);
    t.is(grants.getLoad('f').inFlight, 0);
  },
);

test.serial('the first report of a restarted host removes the reservations of its previous process', (t) => {
  const { grants } = createFixture(t);
  grants.addReservation('h', 1, 40, 'e', WORK);
  grants.clearReservations('h', 2, 0);
  t.is(grants.getLoad('e').inFlight, 0);
});

test.serial('a reservation of a host that sends no more reports expires', async (t) => {
  const { clock, grants } = createFixture(t);
  grants.addReservation('h', 1, 1, 'e', WORK);
  await clock.tickAsync(999);
  t.is(grants.getLoad('e').inFlight, 1);
  await clock.tickAsync(2);
  t.is(grants.getLoad('e').inFlight, 0);
});

test.serial('the returned function removes only its own reservation', (t) => {
  const { grants } = createFixture(t);
  const removeReservation = grants.addReservation('h', 1, 1, 'e', WORK);
  grants.addReservation('h', 1, 2, 'e', WORK);
  removeReservation();
  t.is(grants.getLoad('e').inFlight, 1);
});
