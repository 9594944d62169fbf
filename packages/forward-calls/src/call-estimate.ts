import type { PlainCallKind } from '@laburnumshift/estimate-cost';

/** The expected cost of a call, from what this host has learned. */
export interface CallEstimate {
  /** Group of calls whose times are averaged. */
  readonly callKind: PlainCallKind;
  /** Time that a plain call takes at a server of usual speed, milliseconds; `undefined` when unknown and for calls with a prompt. */
  readonly costMs: number | undefined;
}
