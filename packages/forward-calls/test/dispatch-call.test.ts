import { createByteBudget } from '@laburnumshift/collect-bytes';
import { readMonotonicMs } from '@laburnumshift/clock';
import { CALL_KINDS, type ResponseHead } from '@laburnumshift/forward-types';
import type { SendHandlers } from '@laburnumshift/call-backend';
import test from 'ava';
import type { AttemptInput } from '../src/attempt-input.js';
import { createEventSplitter } from '../src/create-event-splitter.js';
import { dispatchCall } from '../src/dispatch-call.js';
import type { ForwarderDependencies } from '../src/forwarder-dependencies.js';

const HEAD = {
  status: 200,
  isSealed: true,
  hasLength: true,
  forwardedHeaders: [],
} as unknown as ResponseHead;
const dropValue = (): void => undefined;

/** Starts a stream at one server, which has sent `endlessAnswers` answers without end, with the one of this call. */
const startStream = (endlessAnswers = 0) => {
  const servers = { avoided: 0, paused: 0 };
  const received: string[] = [];
  let isHeadSent = false;
  let handlers: SendHandlers | undefined;
  let convict: (reason: string) => void = dropValue;
  const deps = {
    serverTracker: {
      beginCall: () => ({ observeBytes: dropValue, observeFirstEvent: dropValue, finish: dropValue }),
      avoidServer: () => (servers.avoided += 1),
      recordEndlessAnswer: () => endlessAnswers,
    },
    notices: { markPaused: () => (servers.paused += 1) },
    limits: { observeLimit: dropValue },
    startStallChecks: () => dropValue,
    quarantine: {
      beginAttempt: (_server: unknown, _call: unknown, onConvicted: typeof convict) => {
        convict = onConvicted;
        return { observeEvents: dropValue, finish: dropValue };
      },
    },
    pool: {
      sendCall: (...[, , , , given]: Parameters<ForwarderDependencies['pool']['sendCall']>) => {
        handlers = given;
        return {
          isSent: () => true,
          cancel: dropValue,
          discard: dropValue,
          pause: dropValue,
          resume: dropValue,
        };
      },
    },
  };
  const answerMemory = createByteBudget(1_000_000).openReservation();
  const input = {
    matchedCall: {
      answerMemory,
      call: { id: 'call-1' },
      route: { kind: CALL_KINDS.stream },
      body: Buffer.alloc(0),
      reply: {
        isHeadSent: () => isHeadSent,
        sendHead: () => {
          isHeadSent = true;
        },
        write: (bytes: Buffer) => received.push(bytes.toString()) > 0,
        end: dropValue,
      },
      endsAtMs: readMonotonicMs() + 5000,
      callerSignal: new AbortController().signal,
      stopSignal: new AbortController().signal,
    },
    server: { id: 'engine-1' },
    backendCall: {},
    work: {},
    expectedMs: 0,
    splitter: createEventSplitter(answerMemory),
    canRetry: () => false,
    onConnection: dropValue,
    onEvents: dropValue,
    onFirstEvent: dropValue,
  };
  const ended = dispatchCall(deps as unknown as ForwarderDependencies, input as unknown as AttemptInput);
  if (handlers === undefined) throw new Error('the call was not sent');
  return {
    ended,
    received,
    servers,
    handlers,
    convict: (reason: string) => {
      convict(reason);
    },
  };
};

test('a stream that has begun is not cut when a part of its call is convicted of crashes elsewhere', async (t) => {
  const { ended, received, handlers, convict } = startStream();
  handlers.onHeaders(HEAD);
  handlers.onBodyBytes(Buffer.from('id: 1\ndata: a\n\n'));
  convict('servers crash under a piece');
  handlers.onBodyBytes(Buffer.from('id: 2\ndata: b\n\n'));
  handlers.onEnd();
  t.is((await ended).kind, 'delivered');
  t.is(received.length, 2);
});

// Such answers cost the host more time than any others, and a server may send nothing else.
for (const [endlessAnswers, paused] of [
  [2, 0],
  [3, 1],
] as const)
  test(`a server is avoided after an event in endless small chunks, and paused after several: ${String(endlessAnswers)}`, async (t) => {
    const { ended, servers, handlers } = startStream(endlessAnswers);
    handlers.onHeaders(HEAD);
    for (let sent = 0; sent < 5000; sent += 1) handlers.onBodyBytes(Buffer.from('x'));
    t.is((await ended).kind, 'broken');
    t.true(servers.avoided > 0);
    t.is(servers.paused > 0, paused > 0);
  });
