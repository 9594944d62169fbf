/** A candidate with its estimate, kept for `explain`. */
export interface CandidateTrace {
  readonly engine: string;
  readonly queueMs: number;
  readonly transferMs: number;
  readonly prefillMs: number;
  readonly cost: number;
}
