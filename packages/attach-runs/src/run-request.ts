/** A request for the output of a run, which is started when it does not exist. */
export interface RunRequest {
  readonly account: string;
  readonly requestId: string;
  /** True when the caller chose the request id. Otherwise nobody can ask for the run again, and it is not registered. */
  readonly hasCallerId: boolean;
  /** Hash of the request body; the same id with another body is refused. */
  readonly bodyHash: string;
  /** Offset of the first output token to read. */
  readonly startOffset: number;
}
