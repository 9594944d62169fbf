/** Load that a backend server reports with its answers. */
export interface BackendLoad {
  /** Calls that run. */
  readonly running: number;
  /** Calls that wait for a slot. */
  readonly waiting: number;
  /** Calls that the server runs concurrently. */
  readonly slots: number;
}
