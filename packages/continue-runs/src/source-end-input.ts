import type { SourceEvidence } from './source-evidence.js';

/** Input of the decision whether the engine that had a run has ended. */
export interface SourceEndInput {
  /** Results of the probes since the connection of the run was closed, oldest first. */
  readonly evidence: readonly SourceEvidence[];
  /** Time since the connection of the run was closed, milliseconds. */
  readonly elapsedMs: number;
  /** The registration of the engine's process was removed or replaced. */
  readonly isUnregistered: boolean;
  /** Time for the decision, milliseconds since the connection was closed. */
  readonly boundMs: number;
}
