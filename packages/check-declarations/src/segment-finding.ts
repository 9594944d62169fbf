/** A finding at a path in a segment, before its line and column are looked up. */
export interface SegmentFinding {
  readonly file: string;
  readonly path: readonly PropertyKey[];
  readonly message: string;
}
