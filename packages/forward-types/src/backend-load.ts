/** Load that a backend server tells with its answers. */
export interface BackendLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}
