import type { MoveEnd } from './move-end.js';

/** Moves one run to another engine when its engine leaves or lags. */
export interface RunMover {
  /** Aborted when the run has stopped at its engine, whose stream then ends or falls silent. */
  readonly stoppedSignal: AbortSignal;
  /** Ends the mover with the attempt; waits for the answer to a request that stops the run. `undefined` without a move. */
  readonly finish: () => Promise<MoveEnd | undefined>;
}
