/** A request for the output of a run, new or existing. */
export interface RunOpening {
  readonly account: string;
  readonly requestId: string;
  /** False for an id that no caller knows; such a run is never registered. */
  readonly named: boolean;
  /** Hash of the request body; the same id with another body is refused. */
  readonly bodyHash: string;
  /** First output token wanted. */
  readonly startOffset: number;
}
