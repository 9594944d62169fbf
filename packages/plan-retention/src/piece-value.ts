/** Expected value of keeping a piece. */
export interface PieceValue {
  /** Expected saving less the cost of the import, in cost units per mebibyte. */
  readonly savingPerMebibyte: number;
  /** The saving per mebibyte and second of expected residency. Pieces are ranked by it for eviction. */
  readonly density: number;
  /** Median time until the next use if there is one, milliseconds. */
  readonly gapMs: number;
}
