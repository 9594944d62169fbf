import { decideNextStep, type AttemptOutcome, type NextStepInput } from '@laburnumshift/forward-calls';
import type { ResponseHead } from '@laburnumshift/forward-types';
import fc from 'fast-check';
import test from 'ava';

const INPUT: NextStepInput = {
  attempts: 1,
  maxAttempts: 2,
  unsentAttempts: 0,
  maxUnsentAttempts: 3,
  remainingMs: 1000,
  isRetryable: false,
  mayHaveRun: false,
  continueFrom: undefined,
  isHeadSent: false,
  isCallerGone: false,
};
const createAnswer = (status: number): AttemptOutcome => ({
  kind: 'answered',
  head: { status } as ResponseHead,
  body: Buffer.alloc(0),
});
type NextStepKind = ReturnType<typeof decideNextStep>['kind'];
const BROKEN: AttemptOutcome = { kind: 'broken', reason: 'reset' };
const CUT: AttemptOutcome = { kind: 'cut', reason: 'reset' };
const REFUSED: AttemptOutcome = { kind: 'not-run', reason: 'full', isSent: true };

const CASES: readonly (readonly [
  name: string,
  changes: Partial<NextStepInput>,
  end: AttemptOutcome,
  kind: NextStepKind,
])[] = [
  ['a call that was not run is not given up while another server can be tried', {}, REFUSED, 'send'],
  ['a refused call does not get more attempts than its route allows', { maxAttempts: 1 }, REFUSED, 'refuse'],
  ['a call that may have run and is not retryable is not sent again', { mayHaveRun: true }, BROKEN, 'fail'],
  [
    'a retryable call does not fail at the first broken attempt',
    { mayHaveRun: true, isRetryable: true },
    BROKEN,
    'send',
  ],
  [
    'a call that may have run is not reported as refused',
    { mayHaveRun: true, maxAttempts: 1 },
    REFUSED,
    'fail',
  ],
  [
    'a resumable stream is not closed when its connection breaks',
    { mayHaveRun: true, isHeadSent: true, isRetryable: true },
    CUT,
    'send',
  ],
  ['a stream that is not resumable is not resumed', { mayHaveRun: true, isHeadSent: true }, CUT, 'abort'],
  [
    'a server error of a call that is not retryable is passed on, not resent',
    { mayHaveRun: true },
    createAnswer(500),
    'pass',
  ],
  [
    'a retryable call is not given up after a server error',
    { mayHaveRun: true, isRetryable: true },
    createAnswer(500),
    'send',
  ],
  [
    'a server error is not replaced by an error of the host when no attempt is left',
    { mayHaveRun: true, isRetryable: true, attempts: 2 },
    createAnswer(500),
    'pass',
  ],
  [
    'a 503 answer without the header for calls that were not run is not passed on',
    { mayHaveRun: true },
    createAnswer(503),
    'fail',
  ],
  [
    'a retryable call is not given up after a 429 answer without that header',
    { mayHaveRun: true, isRetryable: true },
    createAnswer(429),
    'send',
  ],
  [
    'a resumable stream is not closed by an error of a later server while another attempt can follow',
    { mayHaveRun: true, isHeadSent: true, isRetryable: true, attempts: 2, maxAttempts: 3 },
    createAnswer(500),
    'send',
  ],
  [
    'an answer of a later server does not follow the events of a stream',
    { mayHaveRun: true, isHeadSent: true, isRetryable: true, attempts: 2 },
    createAnswer(500),
    'abort',
  ],
  [
    'a run with a copy is not lost on a route without resends and beyond its attempts',
    { mayHaveRun: true, isHeadSent: true, maxAttempts: 1, continueFrom: 'backup' },
    CUT,
    'continue',
  ],
  [
    'a run with a copy is not lost before its first event',
    { mayHaveRun: true, maxAttempts: 1, continueFrom: 'backup' },
    BROKEN,
    'continue',
  ],
  [
    'a run does not continue when its time is over',
    { mayHaveRun: true, isHeadSent: true, remainingMs: 10, continueFrom: 'backup' },
    CUT,
    'abort',
  ],
  [
    'a refused continuation does not become a second run of a call that may run once',
    { mayHaveRun: true, attempts: 1, maxAttempts: 3 },
    REFUSED,
    'fail',
  ],
  ['a call whose deadline has passed fails', { mayHaveRun: true }, { kind: 'ended' }, 'fail'],
  [
    'nothing is sent after the caller has disconnected',
    { mayHaveRun: true, isCallerGone: true },
    { kind: 'ended' },
    'done',
  ],
];
for (const [name, changes, end, kind] of CASES) {
  test(name, (t) => {
    t.is(decideNextStep({ ...INPUT, ...changes }, end).kind, kind);
  });
}

test('a failed connection does not use up an attempt, and the number of failed connections is limited', (t) => {
  const end: AttemptOutcome = { kind: 'not-run', reason: 'refused', isSent: false };
  const decideKind = (unsent: number) =>
    decideNextStep({ ...INPUT, attempts: 0, maxAttempts: 0, unsentAttempts: unsent }, end).kind;
  t.is(decideKind(3), 'send');
  t.is(decideKind(4), 'refuse');
});

test('no sequence of outcomes repeats a call that must run once, or refuses a call that may have run', (t) => {
  t.notThrows(() => {
    const attemptOutcomes = fc.constantFrom<AttemptOutcome>(
      BROKEN,
      CUT,
      REFUSED,
      createAnswer(500),
      createAnswer(200),
      {
        kind: 'ended',
      },
    );
    fc.assert(
      fc.property(
        fc.array(attemptOutcomes, { minLength: 1, maxLength: 8 }),
        fc.integer({ min: 1, max: 4 }),
        (outcomes, maxAttempts) => {
          let mayHaveRun = false;
          for (const [index, end] of outcomes.entries()) {
            if (end.kind !== 'not-run') mayHaveRun = true;
            const step = decideNextStep({ ...INPUT, attempts: index + 1, maxAttempts, mayHaveRun }, end);
            if (step.kind === 'refuse' && mayHaveRun) return false;
            if (step.kind === 'send' && mayHaveRun && end.kind !== 'not-run') return false;
            if (step.kind === 'send' && index + 1 >= maxAttempts) return false;
            if (step.kind !== 'send') return true;
          }
          return true;
        },
      ),
      { seed: 11 },
    );
  });
});
