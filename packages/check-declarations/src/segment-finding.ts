/** A finding at a path of a segment, before its line is known. */
export interface SegmentFinding {
  readonly file: string;
  readonly path: readonly PropertyKey[];
  readonly message: string;
}
