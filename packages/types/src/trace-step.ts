/** A recorded step in the processing of a request, for `explain`. */
export interface TraceStep {
  readonly atMs: number;
  readonly step: string;
  readonly detail: Readonly<Record<string, unknown>>;
}
