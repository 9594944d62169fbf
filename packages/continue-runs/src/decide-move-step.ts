import type { MoveStep } from './move-step.js';
import type { MoveStepInput } from './move-step-input.js';

/** Most requests of one phase: a copy in progress takes some hundred milliseconds, and an answer may be lost. */
const MAX_COPY_TRIES = 4;
const MAX_STOP_TRIES = 6;

type StepRule = (input: MoveStepInput) => MoveStep;

const retryUpTo =
  (maxTries: number): StepRule =>
  ({ tries }) =>
    tries < maxTries ? 'again' : 'give-up';

const STEPS: Readonly<Record<MoveStepInput['phase'], Readonly<Record<MoveStepInput['answer'], StepRule>>>> = {
  copy: {
    copied: () => 'stop',
    'no-run': () => 'give-up',
    busy: retryUpTo(MAX_COPY_TRIES),
    'no-capacity': () => 'other-target',
    lost: retryUpTo(MAX_COPY_TRIES),
  },
  stop: {
    copied: () => 'at-target',
    'no-run': () => 'stopped',
    busy: retryUpTo(MAX_STOP_TRIES),
    'no-capacity': (input) => (input.isKeptAtSource ? 'at-source' : retryUpTo(MAX_STOP_TRIES)(input)),
    lost: retryUpTo(MAX_STOP_TRIES),
  },
};

/** Decides what follows an answer to a request to copy a run. Load: each answer of a move, at most ten of a run. */
export function decideMoveStep(input: MoveStepInput): MoveStep {
  return STEPS[input.phase][input.answer](input);
}
