import type { RunOutputItem } from '@laburnumshift/types';
import type { RunRequest } from './run-request.js';
import type { StartRun } from './start-run.js';

/** The runs of this node, and access to the runs of other nodes. */
export interface RunRegistry {
  /**
   * Reads the run of the request from the node that owns it, or starts it on this node. The last item is the end of the
   * run; there is none when the signal aborts.
   */
  readonly attachRun: (
    request: RunRequest,
    start: StartRun,
    signal: AbortSignal,
  ) => AsyncIterable<RunOutputItem>;
  /**
   * Counts the runs that are running, the finished runs that are kept with their bytes, and since the start the runs
   * started and the requests attached to an existing run.
   */
  readonly getCounts: () => Readonly<
    Record<'running' | 'kept' | 'keptBytes' | 'started' | 'attached', number>
  >;
  /** Aborts all runs. */
  readonly close: () => void;
}
