/** Registers a run under its request id at the home node of the request. */
export interface RunClaim {
  readonly account: string;
  readonly requestId: string;
  readonly host: string;
  readonly address: string;
  /** Hash of the request body; the same id with another body is refused. */
  readonly bodyHash: string;
  /** Address of an owner that no longer knows the run or cannot be reached; its entry is replaced. */
  readonly replaces?: string | undefined;
}
