import type { ConfigSegment } from '@laburnumshift/types';

/** The value at `config-segment/HASH`. */
export interface StoredSegment {
  /**
   * Generation of the head on which a publisher last relied when it wrote the segment. Cleanup spares segments whose base
   * is the current generation, because that publisher may still move the head.
   */
  readonly base: number;
  readonly segment: ConfigSegment;
}
