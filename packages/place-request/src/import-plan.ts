/** A plan for the pieces of a prompt that an engine does not have: which it computes and which it imports. */
export interface ImportPlan {
  /** Index of the first imported piece; the missing pieces before it, the head, are computed during the transfer. */
  readonly headPieces: number;
  /** Index after the last imported piece; equal to `headPieces` when nothing is imported. */
  readonly importEnd: number;
  readonly transferMs: number;
  /** Prefill time of the head and of the pieces after the imports. */
  readonly prefillMs: number;
  /** Time from the start of the plan to the end of prefill; at most `transferMs` + `prefillMs`, because the transfer overlaps the head. */
  readonly transferAndPrefillMs: number;
  readonly computedTokens: number;
  readonly movedBytes: number;
  /** Cost of time, computed tokens and moved bytes, in cost units (1 ms of waiting at a price of 1). */
  readonly cost: number;
}
