import { MIN_RETRY_TIME_MS } from './min-retry-time-ms.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import type { NextStep } from './next-step.js';
import { NOT_EXECUTED_STATUSES } from './not-executed-statuses.js';
import type { NextStepInput } from './next-step-input.js';

const MIN_SERVER_ERROR_STATUS = 500;

type StepRule = (input: NextStepInput) => NextStep;

const decideWithoutRetry: StepRule = ({ mayHaveRun, isHeadSent }) => {
  if (isHeadSent) return { kind: 'abort' };
  return mayHaveRun ? { kind: 'fail', status: 502 } : { kind: 'refuse' };
};
const decideRetry: StepRule = (input) =>
  input.attempts < input.maxAttempts && input.remainingMs >= MIN_RETRY_TIME_MS
    ? { kind: 'send' }
    : decideWithoutRetry(input);

const decideBroken: StepRule = (input) => {
  if (input.continueFrom !== undefined && input.remainingMs >= MIN_RETRY_TIME_MS && !input.isCallerGone)
    return { kind: 'continue' };
  return input.isRetryable ? decideRetry(input) : decideWithoutRetry(input);
};

const STEP_RULES: Readonly<
  Record<AttemptOutcome['kind'], (input: NextStepInput, end: AttemptOutcome) => NextStep>
> = {
  delivered: () => ({ kind: 'done' }),
  ended: (input) => {
    if (input.isCallerGone) return { kind: 'done' };
    if (input.isHeadSent) return { kind: 'abort' };
    return { kind: 'fail', status: 504 };
  },
  'not-run': (input, end) => {
    // The run itself may have begun in an earlier attempt, whatever this one says of its own.
    if (input.mayHaveRun && !input.isRetryable) return decideWithoutRetry(input);
    // Nothing was sent, so the attempt does not count against `maxAttempts`.
    if (
      end.kind === 'not-run' &&
      !end.isSent &&
      input.remainingMs >= MIN_RETRY_TIME_MS &&
      input.unsentAttempts <= input.maxUnsentAttempts
    )
      return { kind: 'send' };
    return decideRetry(input);
  },
  broken: decideBroken,
  cut: decideBroken,
  answered: (input, end) => {
    if (end.kind !== 'answered') return decideWithoutRetry(input);
    if (input.isHeadSent) return input.isRetryable ? decideRetry(input) : decideWithoutRetry(input);
    const isFailure =
      end.head.status >= MIN_SERVER_ERROR_STATUS || NOT_EXECUTED_STATUSES.has(end.head.status);
    if (isFailure && input.isRetryable) {
      const step = decideRetry(input);
      if (step.kind === 'send') return step;
    }
    if (NOT_EXECUTED_STATUSES.has(end.head.status)) return decideWithoutRetry({ ...input, mayHaveRun: true });
    return { kind: 'pass', head: end.head, body: end.body };
  },
};

/**
 * Decides what follows an attempt: the run continues from memory that was kept of it, else the call is sent again or ends. A call that may have run is sent again only when it is retryable. It is refused only when
 * no attempt can have run it, because a refusal tells the caller that the call has not run.
 */
export function decideNextStep(input: NextStepInput, end: AttemptOutcome): NextStep {
  return STEP_RULES[end.kind](input, end);
}
