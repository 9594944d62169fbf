import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import { createReturnOrders } from '../src/create-return-orders.js';
import { createPlacementRequest } from './fixtures.js';

const createFixture = (t: ExecutionContext) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const orders = createReturnOrders();
  const claim = (callId: string, account: string, isNewCall = true): boolean =>
    orders.claimOrder(createPlacementRequest({ callId, account }), isNewCall);
  return { clock, orders, claim };
};

test.serial('an order goes to one call of its account, and not before the promised time', (t) => {
  const { clock, orders, claim } = createFixture(t);
  orders.addOrder(createPlacementRequest({ account: 'a' }), 500);
  t.false(claim('early', 'a'));
  clock.tick(500);
  t.false(claim('other', 'b'));
  t.false(claim('waiting', 'a', false));
  t.true(claim('return', 'a'));
  t.false(claim('second', 'a'));
  t.true(claim('return', 'a', false));
  orders.releaseCall('return');
  t.false(claim('return', 'a', false));
});

test.serial('orders that nobody claims, and claims of calls that end unseen, do not stay', (t) => {
  const { clock, orders, claim } = createFixture(t);
  const request = createPlacementRequest({ account: 'a' });
  for (let count = 0; count < 2000; count += 1) orders.addOrder(request, 100);
  t.is(orders.countOrders(), 1024);
  orders.addOrder(createPlacementRequest(), 100);
  clock.tick(100);
  t.true(claim('one', 'a'));
  clock.tick(500);
  t.false(claim('late', 'a'));
  t.is(orders.countOrders(), 0);
});
