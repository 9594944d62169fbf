import type { FaultName } from './faults/fault-name.js';
import type { Violation } from './history/violation.js';

/** What to run. */
export interface HistoryOptions {
  /** Seed of the first history; each further one takes the next number. */
  readonly seed: number;
  readonly runs: number;
  /** Histories that run at once in this process. */
  readonly lanes: number;
  /** Faults that are drawn from. */
  readonly faults: readonly FaultName[];
  /** Runs that may be spent on making a failing schedule smaller. */
  readonly shrinkRuns: number;
  /** Receives the violations of a seed as soon as they are seen. */
  readonly onViolation?: ((seed: number, violations: readonly Violation[]) => void) | undefined;
}
