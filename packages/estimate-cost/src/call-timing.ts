/** How long a call took, and what delayed it at its server. */
export interface CallTiming {
  /** Time from sending the call to its whole answer, milliseconds. */
  readonly elapsedMs: number;
  /** The part of `elapsedMs` that the call is expected to have spent in the queue of the server, milliseconds. */
  readonly queueMs: number;
  /** Factor by which work took longer than usual at the server meanwhile; above 0. */
  readonly slowness: number;
}
