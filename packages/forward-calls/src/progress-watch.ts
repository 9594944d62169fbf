/** Detects that one call makes no progress. */
export interface ProgressWatch {
  /** Restarts the time without progress. */
  readonly observeProgress: () => void;
  /** Pauses the watch while the caller reads more slowly than the server sends: the server is then not the cause of the stall. */
  readonly setPaused: (isPaused: boolean) => void;
  readonly stop: () => void;
}
