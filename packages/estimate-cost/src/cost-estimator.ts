import type { CallTiming } from './call-timing.js';
import type { PlainCallKind } from './plain-call-kind.js';

/** Learned cost of calls at a server of usual speed. */
export interface CostEstimator {
  /** Estimates the time that a call of a plain service takes, milliseconds; `undefined` without enough calls to learn from. */
  readonly estimateCallMs: (kind: PlainCallKind) => number | undefined;
  /** Returns the mean time that the calls of a plain service take, milliseconds; `undefined` without enough calls. */
  readonly getServiceMs: (service: string) => number | undefined;
  /**
   * Learns from a call of a plain service that has ended.
   *
   * @returns the time that the call would have taken at a server of usual speed, milliseconds; `undefined` when its timing does not tell
   */
  readonly observeCall: (kind: PlainCallKind, timing: CallTiming) => number | undefined;
}
