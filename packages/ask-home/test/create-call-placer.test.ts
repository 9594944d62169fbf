import { createCallPlacer, createPlacementQueue, type PlacementAnswer } from '@laburnumshift/ask-home';
import type { ChoiceDeps } from '@laburnumshift/choose-server';
import { readMonotonicMs } from '@laburnumshift/clock';
import { ORDER_STAGES, type BackendEntry, type PlacementRequest } from '@laburnumshift/forward-types';
import { createServerNotices } from '@laburnumshift/track-engines';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';
import { createChoice, createPlacementRequest, createServer } from './fixtures.js';

const PROMPT = {
  model: 'model',
  inputTokens: 10,
  maxOutputTokens: 5,
  expectedOutputTokens: undefined,
  pieces: [],
};
const ANSWER: PlacementAnswer = {
  kind: 'server',
  server: 'e',
  bornMs: 5,
  uncachedTokens: 1,
  queueTokens: 2,
  expectedMs: 3,
  memoryShare: undefined,
  fetch: undefined,
  transfers: undefined,
  version: 1,
};
const LOCAL_CHOICE = createChoice('own choice', { version: 1 });

/**
 * Places a call with the given answers of the home host, and without a home host when there are none; returns the server id or the cause of
 * the refusal.
 */
const placeWithAnswers = async (
  answers: readonly (PlacementAnswer | undefined)[],
  entry: BackendEntry | undefined,
  request: Partial<PlacementRequest> = {},
  notices = createServerNotices(),
): Promise<string | undefined> => {
  const remainingAnswers = [...answers];
  const placer = createCallPlacer({
    choiceDeps: {
      notices,
      bounds: { versionMs: 10_000 },
      fleet: { getWeights: () => undefined, findNextWeights: () => undefined },
    } as unknown as ChoiceDeps,
    fleet: { getBackend: (id) => (id === entry?.id ? entry : undefined) },
    homeClient: { askHome: () => Promise.resolve(remainingAnswers.shift()) },
    placementQueue: {
      submitPlacementRequest: (_, onChoice) => {
        onChoice(LOCAL_CHOICE);
        return false;
      },
    },
    metrics: { addToCounter: () => undefined },
    reserveWork: () => () => undefined,
    hasRemoteHome: () => answers.length > 0,
  });
  const choice = await placer.placeCall(
    () => createPlacementRequest({ prompt: PROMPT, ...request }),
    new AbortController().signal,
  );
  return choice?.kind === 'server' ? choice.server.id : choice?.cause;
};

test('a host uses the choice of its home host, and decides itself without a home host or an answer', async (t) => {
  t.is(await placeWithAnswers([ANSWER], createServer('e')), 'e');
  t.is(await placeWithAnswers([], createServer('e')), 'own choice');
  t.is(await placeWithAnswers([undefined], createServer('e')), 'own choice');
});

const UNUSABLE_ENTRIES: Readonly<Record<string, BackendEntry | undefined>> = {
  'is not known': undefined,
  'was restarted': createServer('e', { bornMs: 6 }),
  'belongs to another service': createServer('e', { service: 'other' }),
  drains: createServer('e', { isDraining: true }),
  'has been ordered to load other weights': createServer('e', {
    orderMark: { holder: 'h', model: 'model', version: 2, stage: ORDER_STAGES.ordered },
  }),
};
for (const [name, entry] of Object.entries(UNUSABLE_ENTRIES)) {
  test(`a host rejects the choice of its home host when the server ${name}`, async (t) => {
    t.is(await placeWithAnswers([ANSWER], entry), 'own choice');
  });
}

test('a host accepts a choice with the ordered weight version and rejects one with an older version', async (t) => {
  const ordered = createServer('e', {
    orderMark: { holder: 'h', model: 'model', version: 2, stage: ORDER_STAGES.ordered },
  });
  t.is(await placeWithAnswers([{ ...ANSWER, version: 2 }], ordered), 'e');
  t.is(await placeWithAnswers([{ ...ANSWER, version: 1 }], ordered), 'own choice');
});

test('a host sends no call to a server that is leaving, is paused or is excluded', async (t) => {
  const leaving = createServerNotices();
  leaving.markLeaving({ id: 'e', bornMs: 5 });
  t.is(await placeWithAnswers([ANSWER], createServer('e'), {}, leaving), 'own choice');
  const paused = createServerNotices();
  paused.markPaused({ id: 'e', bornMs: 5 }, 1000);
  t.is(await placeWithAnswers([ANSWER], createServer('e'), {}, paused), 'own choice');
  t.is(await placeWithAnswers([ANSWER], createServer('e'), { excluded: ['e'] }), 'own choice');
});

test('a refusal of the home host is final unless the host has a resend budget or other servers of its own', async (t) => {
  const refuse = (cause: 'no room' | 'no repeats left' | 'no other server'): PlacementAnswer => ({
    kind: 'refuse',
    cause,
    reason: cause,
    retryAfterMs: 5,
  });
  t.is(await placeWithAnswers([refuse('no room')], createServer('e')), 'no room');
  t.is(await placeWithAnswers([refuse('no repeats left')], createServer('e')), 'own choice');
  t.is(await placeWithAnswers([refuse('no other server')], createServer('e')), 'own choice');
});

test('a call that was queued without getting a server is asked for again', async (t) => {
  t.is(await placeWithAnswers([{ kind: 'wait' }, { kind: 'wait' }, ANSWER], createServer('e')), 'e');
});

/** Time without free capacity while the queue is full, milliseconds: less than calls stay in the queue. */
const FULL_MS = 150;
/** More decisions than a queue makes in that time. */
const MAX_DECISIONS = 5000;

test.serial(
  'a call that comes while the placement queue is full does not stop the host until it gets a server',
  async (t) => {
    const clock = installClock();
    t.teardown(() => {
      clock.uninstall();
    });
    let fullAtMs = Infinity;
    let decisions = 0;
    const placementQueue = createPlacementQueue({
      chooseServer: () => {
        decisions += 1;
        if (decisions > MAX_DECISIONS) throw new RangeError('the queue is asked without a pause');
        return readMonotonicMs() < fullAtMs + FULL_MS ? { kind: 'wait' } : LOCAL_CHOICE;
      },
      recordFirstAttempt: () => undefined,
      takeResend: () => false,
    });
    while (placementQueue.submitPlacementRequest(createPlacementRequest(), () => undefined)) continue;
    fullAtMs = readMonotonicMs();
    decisions = 0;
    const placer = createCallPlacer({
      choiceDeps: {} as ChoiceDeps,
      fleet: { getBackend: () => undefined },
      homeClient: { askHome: () => Promise.resolve(undefined) },
      placementQueue,
      metrics: { addToCounter: () => undefined },
      reserveWork: () => () => undefined,
      hasRemoteHome: () => false,
    });
    const choice = placer.placeCall(createPlacementRequest, new AbortController().signal);
    await clock.tickAsync(1000);
    t.is((await choice)?.kind, 'server');
  },
);
