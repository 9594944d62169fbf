import type { Schedule } from './schedule/schedule.js';
import type { Violation } from './history/violation.js';

/** Counts over several histories. */
export interface RunSummary {
  runs: number;
  /** Operations by kind. */
  readonly operations: Record<string, number>;
  /** Histories in which a fault was injected, by fault. */
  readonly faults: Record<string, number>;
  /** Pairs of faults that were in one history. */
  readonly pairs: Set<string>;
  /** Ends of operations: `answered`, or code and outcome of the refusal. */
  readonly results: Record<string, number>;
  /** Histories with violations, by invariant. */
  readonly violations: Record<string, number>;
  /** The smallest schedule found for each history that broke an invariant. */
  readonly failures: {
    readonly seed: number;
    readonly schedule: Schedule;
    readonly violations: readonly Violation[];
  }[];
  /** Histories that could not be run to their end. */
  readonly errors: { readonly seed: number; readonly detail: string }[];
}
