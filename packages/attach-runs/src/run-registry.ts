import type { RunItem } from '@laburnumshift/types';
import type { RunOpening } from './run-opening.js';
import type { StartRun } from './start-run.js';

/** The runs of this node, and the way to those of other nodes. */
export interface RunRegistry {
  /** Follows the run under the request's id wherever it is, or starts it here. Ends early when the signal aborts. */
  readonly attachRun: (opening: RunOpening, start: StartRun, signal: AbortSignal) => AsyncIterable<RunItem>;
  readonly getCounts: () => Readonly<
    Record<'running' | 'kept' | 'keptBytes' | 'started' | 'attached', number>
  >;
  /** Aborts all runs. */
  readonly close: () => void;
}
