/** Load that a backend server reports with its answers. */
export interface BackendLoad {
  /** Calls that run. */
  readonly running: number;
  /** Calls that wait for a slot. */
  readonly waiting: number;
  /** Calls that the server runs concurrently. */
  readonly slots: number;
  /** Factor by which work takes longer than usual on the server at this moment; `undefined` when not stated. */
  readonly slowness?: number;
}
