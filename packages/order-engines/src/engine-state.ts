import type { EngineLoad } from '@laburnumshift/types';
import type { EngineGoal } from './engine-goal.js';

/** What the orderer remembers of an engine between two rounds. */
export interface EngineState {
  /** The last report, `undefined` when the engine could not be reached. */
  load: EngineLoad | undefined;
  /** An order that may still start or run: what it asks for, and the wall-clock time until which it may start. */
  ordered: { readonly goal: EngineGoal; readonly untilMs: number } | undefined;
  /** Monotonic time since which the engine reports the same boot and version without loading. */
  readySinceMs: number | undefined;
  /** Version and boot of the last report. */
  identity: string;
  failures: number;
  /** Monotonic time before which the engine gets no order. */
  notBeforeMs: number;
}
