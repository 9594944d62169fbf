import { createPlacementQueue, PLACEMENT_TIMING } from '@laburnumshift/ask-home';
import { REFUSAL_CAUSES } from '@laburnumshift/choose-server';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import { createChoice, createPlacementRequest } from './fixtures.js';

const SERVER = createChoice('e');
/** Creates a placement queue over `room` free slots; each placed call takes one. */
const createFixture = (t: ExecutionContext, room: number, repeats = 0) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const state = { room, repeats, calls: 0 };
  const asked: PlacementRequest[] = [];
  const placementQueue = createPlacementQueue({
    chooseServer: (request) => {
      asked.push(request);
      if (request.waitedMs > request.targetMs) {
        return { kind: 'refuse', cause: REFUSAL_CAUSES.noCapacity, reason: 'late', retryAfterMs: 1 };
      }
      if (state.room === 0) return { kind: 'wait' };
      state.room -= 1;
      return SERVER;
    },
    recordFirstAttempt: () => (state.calls += 1),
    takeResend: () => {
      state.repeats -= 1;
      return state.repeats >= 0;
    },
  });
  const order: string[] = [];
  const addPlacementRequest = (callId: string, changes: Partial<PlacementRequest> = {}): boolean =>
    placementQueue.submitPlacementRequest(createPlacementRequest({ callId, ...changes }), (choice) => {
      order.push(`${callId} ${choice.kind}`);
    });
  return { clock, state, asked, placementQueue, order, addPlacementRequest };
};

test.serial('queued calls get free slots in order of priority and then of time waited', async (t) => {
  const { clock, state, order, addPlacementRequest } = createFixture(t, 0);
  t.true(addPlacementRequest('late', { priority: 2 }));
  t.true(addPlacementRequest('old', { priority: 1, waitedMs: 200 }));
  t.true(addPlacementRequest('young', { priority: 1 }));
  t.true(addPlacementRequest('urgent', { priority: 0 }));
  await clock.tickAsync(PLACEMENT_TIMING.capacityPollMs);
  t.deepEqual(order, []);
  state.room = 3;
  await clock.tickAsync(PLACEMENT_TIMING.capacityPollMs);
  t.deepEqual(order, ['urgent server', 'old server', 'young server']);
  state.room = 1;
  await clock.tickAsync(PLACEMENT_TIMING.capacityPollMs);
  t.is(order.at(-1), 'late server');
});

test.serial(
  'guards against a call that is counted again each time it is asked for after a wait',
  async (t) => {
    const { clock, state, order, addPlacementRequest } = createFixture(t, 0);
    for (let asked = 0; asked < 4; asked += 1) {
      addPlacementRequest('slow', { waitedMs: asked * (PLACEMENT_TIMING.maxQueueMs + 10), targetMs: 10_000 });
      await clock.tickAsync(PLACEMENT_TIMING.maxQueueMs + 10);
    }
    t.deepEqual(order, Array<string>(4).fill('slow wait'));
    t.is(state.calls, 1);
  },
);

test.serial('a new call does not overtake queued calls', (t) => {
  const { state, order, addPlacementRequest } = createFixture(t, 0);
  addPlacementRequest('first');
  state.room = 1;
  t.true(addPlacementRequest('second'));
  t.deepEqual(order, ['first server']);
});

test.serial(
  'a queued call is refused as soon as more waiting cannot help it, not at the end of the queue time',
  async (t) => {
    const { clock, order, addPlacementRequest } = createFixture(t, 0);
    addPlacementRequest('short', { targetMs: 50 });
    await clock.tickAsync(80);
    t.deepEqual(order, ['short refuse']);
  },
);

test.serial(
  'the time in the queue is added to the time waited and taken from the remaining time',
  async (t) => {
    const { clock, asked, addPlacementRequest } = createFixture(t, 0);
    addPlacementRequest('one', { waitedMs: 100, remainingMs: 5000 });
    await clock.tickAsync(PLACEMENT_TIMING.capacityPollMs * 2);
    t.like(asked.at(-1), {
      waitedMs: 100 + PLACEMENT_TIMING.capacityPollMs * 2,
      remainingMs: 5000 - PLACEMENT_TIMING.capacityPollMs * 2,
    });
  },
);

test.serial(
  'a call without a slot within the maximum queue time gets the answer wait and leaves no entry or timer',
  async (t) => {
    const { clock, placementQueue, order, addPlacementRequest, state } = createFixture(t, 0);
    addPlacementRequest('one');
    await clock.tickAsync(PLACEMENT_TIMING.maxQueueMs + PLACEMENT_TIMING.capacityPollMs);
    t.deepEqual(order, ['one wait']);
    t.is(placementQueue.countQueued(), 0);
    t.is(clock.countTimers(), 0);
    state.room = 1;
    t.false(addPlacementRequest('two'));
  },
);

test.serial(
  'a resent call takes a resend from the budget, and is refused when the budget is exhausted',
  (t) => {
    const { state, order, addPlacementRequest } = createFixture(t, 9, 1);
    addPlacementRequest('new');
    addPlacementRequest('again', { isResend: true });
    addPlacementRequest('once more', { isResend: true });
    t.deepEqual(order, ['new server', 'again server', 'once more refuse']);
    t.is(state.calls, 1);
  },
);

test.serial('a resend is taken from the budget when a slot is free, not at each check', async (t) => {
  const { clock, state, order, addPlacementRequest } = createFixture(t, 0, 1);
  addPlacementRequest('again', { isResend: true });
  await clock.tickAsync(100);
  t.is(state.repeats, 1);
  state.room = 1;
  await clock.tickAsync(PLACEMENT_TIMING.capacityPollMs);
  t.deepEqual(order, ['again server']);
});

test.serial('the queue does not grow beyond its bound; further calls get the answer wait', (t) => {
  const { placementQueue, order, addPlacementRequest } = createFixture(t, 0);
  for (let count = 0; count < 600; count += 1) addPlacementRequest(String(count));
  t.is(placementQueue.countQueued(), 512);
  t.is(order.length, 88);
});

test.serial(
  'a call whose expected queue wait is too long is refused on arrival, and a more urgent call is not',
  async (t) => {
    const { clock, state, order, addPlacementRequest } = createFixture(t, 10);
    for (let index = 0; index < 10; index += 1) addPlacementRequest(`placed-${String(index)}`);
    order.length = 0;
    clock.tick(990);
    // At ten placements per second and a maximum expected wait of 200 ms, a call may have two calls ahead of it.
    for (let index = 0; index < 3; index += 1) t.true(addPlacementRequest(`held-${String(index)}`));
    t.false(addPlacementRequest('refused'));
    t.false(addPlacementRequest('refused-too'));
    t.true(addPlacementRequest('urgent', { priority: 0 }));
    t.deepEqual(order, ['refused refuse', 'refused-too refuse']);
    state.room = 4;
    await clock.tickAsync(PLACEMENT_TIMING.capacityPollMs);
    t.deepEqual(order.slice(2), ['urgent server', 'held-0 server', 'held-1 server', 'held-2 server']);
  },
);

test.serial(
  'an error while one queued call is decided does not leave the others without an answer',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    const answers = new Map<string, string[]>();
    let isFailing = false;
    const placementQueue = createPlacementQueue({
      chooseServer: ({ callId }) => {
        if (isFailing && callId === 'faulty') throw new RangeError('no candidates');
        return { kind: 'wait' };
      },
      recordFirstAttempt: () => undefined,
      takeResend: () => false,
    });
    for (const callId of ['before', 'faulty', 'after'])
      placementQueue.submitPlacementRequest(createPlacementRequest({ callId }), ({ kind }) => {
        answers.set(callId, [...(answers.get(callId) ?? []), kind]);
      });
    isFailing = true;
    await clock.tickAsync(2 * PLACEMENT_TIMING.maxQueueMs).catch(() => undefined);
    t.deepEqual(Object.fromEntries(answers), { before: ['wait'], faulty: ['refuse'], after: ['wait'] });
    t.is(placementQueue.countQueued(), 0);
  },
);

test.serial('a caller that retries at the promised time is not overtaken by new calls again', async (t) => {
  const { clock, state, order, addPlacementRequest } = createFixture(t, 1);
  addPlacementRequest('placed');
  clock.tick(600);
  addPlacementRequest('before', { account: 'b' });
  t.false(addPlacementRequest('refused', { account: 'a' }));
  // One placement in 600 ms, one call ahead, and 1 / 0.3 placements for each promised retry.
  await clock.tickAsync(2600);
  order.length = 0;
  addPlacementRequest('new', { account: 'c' });
  addPlacementRequest('return', { account: 'a' });
  state.room = 1;
  await clock.tickAsync(PLACEMENT_TIMING.capacityPollMs);
  t.deepEqual(order, ['return server']);
});

test.serial('a burst of one account does not delay the other accounts of its priority', async (t) => {
  const { clock, state, order, addPlacementRequest } = createFixture(t, 4);
  for (const account of ['burst', 'burst', 'burst', 'b']) addPlacementRequest('placed', { account });
  order.length = 0;
  clock.tick(1000);
  addPlacementRequest('burst', { account: 'burst' });
  await clock.tickAsync(100);
  addPlacementRequest('other', { account: 'b' });
  state.room = 1;
  await clock.tickAsync(PLACEMENT_TIMING.capacityPollMs);
  t.deepEqual(order, ['other server']);
});

test.serial('urgent calls that take all capacity do not starve a less urgent priority', (t) => {
  const { asked, addPlacementRequest } = createFixture(t, 9);
  const prompt = {
    model: 'model',
    inputTokens: 10_000,
    maxOutputTokens: 0,
    expectedOutputTokens: 0,
    pieces: [],
  };
  addPlacementRequest('urgent', { priority: 0, prompt });
  addPlacementRequest('first', { priority: 2, prompt });
  addPlacementRequest('second', { priority: 2, prompt });
  t.deepEqual(
    asked.map(({ priority }) => priority),
    [0, 0, 2],
  );
});
