/** Input of the decision whether a run is moved now. */
export interface MoveInput {
  /** The engine announced that it leaves, is draining, or is no longer registered. */
  readonly isSourceLeaving: boolean;
  /** The run may be sent again to another engine after it broke. */
  readonly isRepeatable: boolean;
  /** Time since the run was sent, milliseconds. */
  readonly elapsedMs: number;
  /** Expected time from the dispatch of the run to its end, milliseconds. */
  readonly expectedRunMs: number;
  /** Time that the caller still waits, milliseconds. */
  readonly remainingMs: number;
  /** Time since the last event, milliseconds; `undefined` before the first one. */
  readonly silentMs: number | undefined;
  /** Usual pause between two events, milliseconds. */
  readonly eventPauseMs: number;
}
