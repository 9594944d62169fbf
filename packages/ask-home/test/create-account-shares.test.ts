import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import { createAccountShares } from '../src/create-account-shares.js';
import { createPriorityShares } from '../src/create-priority-shares.js';
import { createPlacementRequest } from './fixtures.js';

const createFixture = (t: ExecutionContext) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const shares = createAccountShares();
  const place = (account: string, count: number): void => {
    for (let index = 0; index < count; index += 1)
      shares.recordPlacement(createPlacementRequest({ account, priority: 0 }));
  };
  const getExcess = (account: string | undefined, priority = 0): number =>
    shares.computeExcessShare(createPlacementRequest({ account, priority }));
  return { clock, place, getExcess };
};

test.serial('an account alone, a small account and a call without an account are not delayed', (t) => {
  const { place, getExcess } = createFixture(t);
  place('a', 30);
  t.is(getExcess('a'), 0);
  place('b', 10);
  t.is(getExcess('b'), 0);
  t.is(getExcess('a'), 0.25);
  t.is(getExcess('a', 1), 0);
  t.is(getExcess('new'), 0);
  t.is(getExcess(undefined), 0);
});

test.serial('a burst does not delay its account for long after it, and a rare call is no competitor', (t) => {
  const { clock, place, getExcess } = createFixture(t);
  place('b', 1);
  place('a', 99);
  t.is(getExcess('a'), 0);
  place('b', 99);
  clock.tick(20_000);
  place('b', 1);
  t.is(getExcess('a'), 0);
});

test.serial('a less urgent priority is starved only while more urgent calls get nearly all capacity', (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const shares = createPriorityShares();
  const build = (priority: number, inputTokens: number, service = 'm') =>
    createPlacementRequest({
      priority,
      service,
      prompt: { model: 'model', inputTokens, maxOutputTokens: 0, expectedOutputTokens: 0, pieces: [] },
    });
  t.false(shares.isStarved(build(1, 100)));
  shares.recordPlacement(build(0, 100_000));
  t.true(shares.isStarved(build(1, 100)));
  t.false(shares.isStarved(build(0, 100)));
  t.false(shares.isStarved(build(1, 100, 'other')));
  shares.recordPlacement(build(1, 5000));
  t.false(shares.isStarved(build(1, 100)));
  t.true(shares.isStarved(build(2, 100)));
});
