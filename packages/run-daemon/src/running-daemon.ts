/** A daemon that has started. */
export interface RunningDaemon {
  /** Stops in order and resolves when the process may exit. Called once. */
  readonly stop: () => Promise<void>;
  /** Resolves when the daemon has stopped for another reason than a signal. */
  readonly stopped?: Promise<void>;
  /** Counts and logs an error that no handler caught; without it, the error is only logged. `kind` is the event of the process. */
  readonly recordUnhandledError?: (kind: string, error: unknown) => void;
}
