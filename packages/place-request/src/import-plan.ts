/** How the pieces of a prompt that an engine lacks are produced. */
export interface ImportPlan {
  readonly headPieces: number;
  readonly importEnd: number;
  readonly transferMs: number;
  readonly prefillMs: number;
  /** Head and transfer overlap, so this is less than the sum of transfer and prefill. */
  readonly workMs: number;
  readonly computedTokens: number;
  readonly movedBytes: number;
  readonly cost: number;
}
