/** An engine considered by a placement, with its estimated cost, recorded for `explain`. */
export interface CandidateTrace {
  readonly engine: string;
  readonly queueMs: number;
  readonly transferMs: number;
  readonly prefillMs: number;
  readonly cost: number;
}
