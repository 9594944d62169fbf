import { createReservationTable } from '@laburnumshift/ask-home';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';

const WORK = { uncachedTokens: 100, totalTokens: 300 };
const createFixture = (t: ExecutionContext) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  return { clock, reservations: createReservationTable() };
};

test.serial(
  'a reservation is removed as soon as the host reports its placement request, so no call is counted twice',
  (t) => {
    const { reservations } = createFixture(t);
    reservations.addReservation('h', 1, 4, 'e', WORK);
    reservations.addReservation('h', 1, 5, 'e', WORK);
    reservations.addReservation('g', 1, 4, 'e', WORK);
    t.deepEqual(reservations.getLoad('e'), { inFlight: 3, pendingTokens: 300, heldTokens: 900 });
    reservations.clearReservations('h', 1, 4);
    t.is(reservations.getLoad('e').inFlight, 2);
    reservations.clearReservations('h', 1, 5);
    t.is(reservations.getLoad('e').inFlight, 1);
    t.is(reservations.getLoad('f').inFlight, 0);
  },
);

test.serial('the first report of a restarted host removes the reservations of its previous process', (t) => {
  const { reservations } = createFixture(t);
  reservations.addReservation('h', 1, 40, 'e', WORK);
  reservations.clearReservations('h', 2, 0);
  t.is(reservations.getLoad('e').inFlight, 0);
});

test.serial('a reservation of a host that sends no more reports expires', async (t) => {
  const { clock, reservations } = createFixture(t);
  reservations.addReservation('h', 1, 1, 'e', WORK);
  await clock.tickAsync(999);
  t.is(reservations.getLoad('e').inFlight, 1);
  await clock.tickAsync(2);
  t.is(reservations.getLoad('e').inFlight, 0);
});

test.serial('the returned function removes only its own reservation', (t) => {
  const { reservations } = createFixture(t);
  const removeReservation = reservations.addReservation('h', 1, 1, 'e', WORK);
  reservations.addReservation('h', 1, 2, 'e', WORK);
  removeReservation();
  t.is(reservations.getLoad('e').inFlight, 1);
});
