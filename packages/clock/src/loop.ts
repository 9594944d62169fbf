/** A task that runs repeatedly. */
export interface Loop {
  /** Ends the loop after the current run. */
  readonly stop: () => void;
  /** Ends the current pause, or skips the pause after the current run. */
  readonly runNow: () => void;
}
