import type { CallTiming } from './call-timing.js';
import type { OutputKind } from './output-kind.js';
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
  /**
   * Estimates the output of a call from its caller's estimate, tokens: without the bias of such estimates, and larger the more they are
   * spread, since long outputs hold memory for longer. Returns the caller's estimate without enough calls to learn from.
   */
  readonly estimateOutput: (kind: OutputKind, hintTokens: number) => number;
  /** Learns from a call whose whole output was delivered. */
  readonly observeOutput: (kind: OutputKind, hintTokens: number, outputTokens: number) => void;
}
