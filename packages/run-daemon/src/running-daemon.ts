/** A daemon that has started. */
export interface RunningDaemon {
  /** Stops in order and resolves when the process may exit. Called once. */
  readonly stop: () => Promise<void>;
  /** Resolves when the daemon has stopped for another reason than a signal. */
  readonly stopped?: Promise<void>;
}
