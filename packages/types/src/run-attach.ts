/** Reads output of a run on the node that owns it. */
export interface RunAttach {
  readonly account: string;
  readonly requestId: string;
  /** First output token wanted. */
  readonly offset: number;
  readonly waitMs: number;
}
