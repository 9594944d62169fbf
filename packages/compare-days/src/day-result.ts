import type { BaselineDay } from './baseline-day.js';

/** Result of a run of one day. */
export interface DayResult extends BaselineDay {
  readonly seed: number | undefined;
  /** Names of the rules of the bench that the run broke. */
  readonly brokenRules: readonly string[];
  /** Reason why the bench ended the day early; `undefined` for a complete day. */
  readonly fault: string | undefined;
}
