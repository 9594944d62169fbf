import { createPlacementQueue } from '@laburnumshift/ask-home';
import { REFUSAL_CAUSES, type ServerChoice } from '@laburnumshift/choose-server';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';
import { createChoice, createPlacementRequest } from './fixtures.js';

const CALLS = 120;
const PROMPT = { model: 'm', inputTokens: 900, maxOutputTokens: 50, expectedOutputTokens: 50, pieces: [] };
/** Choices that come in turn: each kind of decision and record of the queue follows from one of them. */
const CHOICES: readonly ServerChoice[] = [
  createChoice('e'),
  { kind: 'wait', memory: { engine: 'e', neededTokens: 900 } },
  { kind: 'refuse', cause: REFUSAL_CAUSES.noCapacity, reason: 'memory is full', retryAfterMs: 50 },
  createChoice('f'),
  { kind: 'wait', room: { firstMs: 900, perCallMs: 70 } },
  { kind: 'refuse', cause: REFUSAL_CAUSES.noServer, reason: 'no server', retryAfterMs: 1000 },
];

/** Decides the same calls with a number of explanations before each; returns the decisions, and the last explanation of each call. */
const runCalls = async (explanations: number) => {
  const clock = installClock();
  try {
    let turn = 0;
    const reserved: number[] = [];
    const choose = (
      _: PlacementRequest,
      getReservedTokens: (engine: string, engineCount: number, capacityTokens: number) => number,
    ): ServerChoice => {
      reserved.push(Math.round(getReservedTokens('e', 2, 100_000)));
      return CHOICES[turn % CHOICES.length] ?? createChoice('e');
    };
    let resends = 0;
    const queue = createPlacementQueue({
      chooseServer: choose,
      recordFirstAttempt: () => undefined,
      takeResend: () => {
        resends += 1;
        return true;
      },
    });
    const decided: ServerChoice[] = [];
    const explained: (ServerChoice | undefined)[] = [];
    const ownReserved: number[] = [];
    for (turn = 0; turn < CALLS; turn += 1) {
      const request = createPlacementRequest({
        callId: `c${String(turn)}`,
        account: `account-${String(turn % 3)}`,
        priority: turn % 2,
        ...(turn % 5 > 0 && { prompt: PROMPT }),
      });
      let explanation: ServerChoice | undefined;
      for (let index = 0; index < explanations; index += 1)
        explanation = queue.explainPlacementRequest(request, choose);
      // A call that never comes must leave no reservation.
      if (explanations > 0)
        queue.explainPlacementRequest({ ...request, callId: 'never', priority: 0, prompt: PROMPT }, choose);
      explained.push(explanation);
      reserved.length = 0;
      queue.submitPlacementRequest(request, (choice) => decided.push(choice));
      ownReserved.push(...reserved);
      await clock.tickAsync(37);
    }
    return { decided, explained, ownReserved, resends, queued: queue.countQueued() };
  } finally {
    clock.uninstall();
  }
};

test.serial(
  'guards against explanations that change a later decision, a Retry-After or a reservation',
  async (t) => {
    const plain = await runCalls(0);
    const asked = await runCalls(15);
    t.deepEqual({ ...asked, explained: [] }, { ...plain, explained: [] });
    t.true(
      plain.decided.some((choice) => choice.kind === 'refuse' && choice.cause === REFUSAL_CAUSES.allLimited),
    );
  },
);

test.serial('guards against an explained Retry-After other than that of the call', async (t) => {
  const { explained, decided } = await runCalls(1);
  const refusals = explained.filter((choice) => choice?.kind === 'refuse');
  t.true(refusals.length > 30);
  for (const refusal of refusals)
    t.true(decided.some((choice) => JSON.stringify(choice) === JSON.stringify(refusal)));
});

test.serial('guards against a promise to an account whose refusal was only explained', async (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  let choice: ServerChoice = {
    kind: 'refuse',
    cause: REFUSAL_CAUSES.noCapacity,
    reason: 'full',
    retryAfterMs: 50,
  };
  const queue = createPlacementQueue({
    chooseServer: () => {
      const current = choice;
      if (current.kind === 'server') choice = { kind: 'wait' };
      return current;
    },
    recordFirstAttempt: () => undefined,
    takeResend: () => true,
  });
  const explained = queue.explainPlacementRequest(
    createPlacementRequest({ account: 'second' }),
    () => choice,
  );
  t.like(explained, { kind: 'refuse' });
  await clock.tickAsync(50);
  choice = { kind: 'wait' };
  const order: string[] = [];
  for (const account of ['first', 'second'])
    queue.submitPlacementRequest(createPlacementRequest({ callId: account, account }), ({ kind }) => {
      if (kind === 'server') order.push(account);
    });
  choice = createChoice('e');
  await clock.tickAsync(60);
  t.deepEqual(order, ['first']);
});
