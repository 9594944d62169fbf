/** What it is worth to keep a piece. */
export interface PieceValue {
  /** Expected saving in cost units per mebibyte, less the cost of the import. */
  readonly perMebibyte: number;
  /** The same per second for which the piece is expected to take room; ranks pieces under pressure. */
  readonly density: number;
  /** Median time until the return, milliseconds. */
  readonly gapMs: number;
}
