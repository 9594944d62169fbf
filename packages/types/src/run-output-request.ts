/** Requests output tokens of a run from the node that owns the run. */
export interface RunOutputRequest {
  readonly account: string;
  readonly requestId: string;
  /** Index of the first output token to return. */
  readonly offset: number;
  readonly waitMs: number;
}
