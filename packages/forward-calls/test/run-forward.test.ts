import { createByteBudget } from '@laburnumshift/collect-bytes';
import { REFUSAL_CAUSES, type RefusalCause, type ServerChoice } from '@laburnumshift/choose-server';
import { readMonotonicMs } from '@laburnumshift/clock';
import { CALL_KINDS, type ResponseHead } from '@laburnumshift/forward-types';
import type { SendHandlers } from '@laburnumshift/call-backend';
import { createCostEstimator } from '@laburnumshift/estimate-cost';
import { createLogger } from '@laburnumshift/logger';
import { installClock } from '@laburnumshift/test-utils';
import test, { type ExecutionContext } from 'ava';
import type { ForwarderDependencies } from '../src/forwarder-dependencies.js';
import type { MatchedCall } from '../src/matched-call.js';
import { runForward } from '../src/run-forward.js';

const HEAD = {
  status: 200,
  isSealed: true,
  hasLength: true,
  forwardedHeaders: [],
} as unknown as ResponseHead;
const dropValue = (): void => undefined;
const createChoice = (id: string): ServerChoice =>
  ({
    kind: 'server',
    server: { id },
    expectedMs: 0,
    uncachedTokens: 0,
    queueTokens: 0,
  }) as unknown as ServerChoice;
const createRefusal = (cause: RefusalCause): ServerChoice => ({
  kind: 'refuse',
  cause,
  reason: cause,
  retryAfterMs: 400,
});

/** Runs a resumable stream whose first server breaks off after an event; later servers complete it. Returns what its caller got. */
const runStream = async (t: ExecutionContext, choices: ServerChoice[]): Promise<string> => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const received: string[] = [];
  let attempts = 0;
  const sendCall = (...[, , , , handlers]: [unknown, unknown, unknown, unknown, SendHandlers]) => {
    attempts += 1;
    const isFirst = attempts === 1;
    setTimeout(() => {
      handlers.onHeaders(HEAD);
      handlers.onBodyBytes(Buffer.from(`id: ${String(attempts)}\ndata: a\n\n`));
      if (isFirst) handlers.onFailure({ type: 'answering', reason: 'connection closed' });
      else handlers.onEnd();
    }, 10);
    return { isSent: () => true, cancel: dropValue, discard: dropValue, pause: dropValue, resume: dropValue };
  };
  const deps = {
    serverTracker: {
      beginCall: () => ({ observeBytes: dropValue, observeFirstEvent: dropValue, finish: dropValue }),
      observePrefill: dropValue,
      observeRun: dropValue,
      getPrefillRate: () => 1,
      getState: () => ({ slowness: 1 }),
      getPieceTable: () => ({ addPiece: dropValue }),
    },
    costs: createCostEstimator(),
    limits: { observeLimit: dropValue },
    fleet: { getConfig: () => undefined },
    startStallChecks: () => dropValue,
    quarantine: {
      checkCall: () => ({ kind: 'allowed' }),
      beginAttempt: () => ({ observeEvents: dropValue, finish: dropValue }),
    },
    sharing: { countCoveredHosts: () => 0 },
    metrics: { addToCounter: dropValue, recordDuration: dropValue },
    placer: { placeCall: () => Promise.resolve(choices.shift()) },
    pool: { sendCall },
  } as unknown as ForwarderDependencies;
  const matchedCall = {
    call: { id: 'call-1' },
    route: {
      name: 'r',
      kind: CALL_KINDS.stream,
      isResumable: true,
      maxAttempts: 3,
      priority: 1,
      targetMs: 500,
    },
    service: { name: 'models', maxConnections: 4 },
    body: Buffer.alloc(0),
    reply: {
      isHeadSent: () => received.length > 0,
      sendHead: () => received.push('head'),
      write: (bytes: Buffer) => received.push(String(/id: \d/.exec(bytes.toString()))) > 0,
      end: () => received.push('end'),
      abort: () => received.push('cut'),
    },
    answerMemory: createByteBudget(1_000_000).openReservation(),
    arrivedAtMs: readMonotonicMs(),
    endsAtMs: readMonotonicMs() + 3000,
    callerSignal: new AbortController().signal,
    stopSignal: new AbortController().signal,
  } as unknown as MatchedCall;
  const ended = runForward(deps, matchedCall, createLogger('forward'));
  await clock.tickAsync(5000);
  await ended;
  return received.join(' ');
};

for (const cause of [REFUSAL_CAUSES.noCapacity, REFUSAL_CAUSES.weights, REFUSAL_CAUSES.noServer])
  test.serial(
    `a stream that has begun is not cut because there is no server at once: ${cause}`,
    async (t) => {
      const choices = [createChoice('a'), createRefusal(cause), createRefusal(cause), createChoice('b')];
      t.is(await runStream(t, choices), 'head id: 1 id: 2 end');
    },
  );

test.serial('a stream that has begun does not wait for a server beyond its time', async (t) => {
  const refusals = Array.from({ length: 100 }, () => createRefusal(REFUSAL_CAUSES.noCapacity));
  t.is(await runStream(t, [createChoice('a'), ...refusals]), 'head id: 1 cut');
});

test.serial('a stream that has begun does not wait when the resend budget is used up', async (t) => {
  const choices = [createChoice('a'), createRefusal(REFUSAL_CAUSES.resendBudgetUsedUp), createChoice('b')];
  t.is(await runStream(t, choices), 'head id: 1 cut');
});
