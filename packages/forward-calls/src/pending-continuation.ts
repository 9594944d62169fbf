import type { RunContinuation } from '@laburnumshift/forward-types';
import type { AttemptOutcome } from './attempt-outcome.js';
import type { EngineChoice } from './engine-choice.js';

/** The next attempt of a run that continues from memory that was kept of it. */
export interface PendingContinuation {
  readonly from: 'backup' | 'handle';
  /** The run continues at the engine that stopped it. */
  readonly isReturning: boolean;
  readonly choice: EngineChoice;
  readonly memory: RunContinuation;
  /** Outcome of the attempt that broke off, by which the call goes on when the memory is not there. */
  readonly brokenOutcome: AttemptOutcome;
}
