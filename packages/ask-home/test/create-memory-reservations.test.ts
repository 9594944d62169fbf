import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import { createMemoryReservations } from '../src/create-memory-reservations.js';
import { createPlacementRequest } from './fixtures.js';

const ENGINES = 2;
const CAPACITY = 100_000;
const PROMPT = {
  model: 'model',
  inputTokens: 12_000,
  maxOutputTokens: 0,
  expectedOutputTokens: 0,
  pieces: [],
};
const createFixture = (t: ExecutionContext) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const reservations = createMemoryReservations();
  const countReserved = (changes: Parameters<typeof createPlacementRequest>[0], engine = 'e'): number =>
    reservations.getReservedTokens(createPlacementRequest(changes), engine, ENGINES, CAPACITY);
  return { clock, reservations, countReserved };
};

test.serial('small calls do not fill the memory that is freed for a large urgent call', (t) => {
  const { clock, reservations, countReserved } = createFixture(t);
  const large = createPlacementRequest({ callId: 'large', priority: 0, waitedMs: 100 });
  reservations.reserveEngine(large, 'e', 12_000);
  t.is(countReserved({ callId: 'large', priority: 0, waitedMs: 100 }), 0);
  t.is(countReserved({ priority: 0, waitedMs: 200 }), 0);
  t.is(countReserved({ priority: 0 }), 12_000);
  t.is(countReserved({ priority: 1, waitedMs: 900 }), 12_000);
  t.is(countReserved({ priority: 1 }, 'other'), 0);
  reservations.reserveEngine(createPlacementRequest({ callId: 'later', priority: 1 }), 'e', 500);
  t.is(countReserved({ priority: 2 }), 12_000);
  clock.tick(400);
  t.is(countReserved({ priority: 2 }), 0);
});

test.serial('a call that moves to another engine, or ends its wait, leaves no reservation behind', (t) => {
  const { reservations, countReserved } = createFixture(t);
  const large = createPlacementRequest({ callId: 'large', priority: 0 });
  reservations.reserveEngine(large, 'e', 12_000);
  reservations.reserveEngine(large, 'other', 12_000);
  t.is(countReserved({ priority: 1 }), 0);
  t.is(countReserved({ priority: 1 }, 'other'), 12_000);
  reservations.releaseCall('large');
  t.is(countReserved({ priority: 1 }, 'other'), 0);
});

test.serial('the memory kept free for expected calls is bounded and ends without calls that need it', (t) => {
  const { clock, reservations, countReserved } = createFixture(t);
  const urgent = createPlacementRequest({ priority: 0, prompt: PROMPT });
  reservations.observeNeed(urgent);
  // 12,000 tokens within a second are 1,800 within 150 ms, at two engines.
  t.is(countReserved({ priority: 1 }), 900);
  t.is(countReserved({ priority: 0 }), 0);
  t.is(countReserved({ priority: 1, service: 'other' }), 0);
  for (let count = 0; count < 100; count += 1) reservations.observeNeed(urgent);
  t.is(countReserved({ priority: 1 }), 0.15 * CAPACITY);
  clock.tick(10_000);
  t.true(countReserved({ priority: 1 }) < 100);
});
