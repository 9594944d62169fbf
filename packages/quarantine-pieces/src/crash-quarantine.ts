import type { BackendEntry } from '@laburnumshift/forward-types';
import type { ObservedAttempt } from './observed-attempt.js';
import type { QuarantineVerdict } from './quarantine-verdict.js';
import type { SuspectCall } from './suspect-call.js';

/** Keeps calls that crash backend servers away from them. */
export interface CrashQuarantine {
  /** Decides whether a call may be sent to a server. */
  readonly checkCall: (call: SuspectCall) => QuarantineVerdict;
  /** Returns the verdict of `checkCall` without recording a refusal, to explain it. */
  readonly readVerdict: (call: SuspectCall) => QuarantineVerdict;
  /**
   * Observes one attempt. An attempt that `checkCall` allowed as a trial is recorded as such.
   *
   * @param onConvicted called when a trait of the call is convicted before the server has begun the answer
   */
  readonly beginAttempt: (
    server: BackendEntry,
    call: SuspectCall,
    onConvicted: (reason: string) => void,
  ) => ObservedAttempt;
  /** Number of traits for which calls are refused. */
  readonly countConvicted: () => number;
  readonly close: () => void;
}
