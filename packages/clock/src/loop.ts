/** A task that runs again and again. */
export interface Loop {
  /** Ends the loop after the current run. */
  readonly stop: () => void;
  /** Ends the present pause, or leaves out the one after the current run. */
  readonly runSoon: () => void;
}
