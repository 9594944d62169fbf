import type { ConfigSegment } from '@laburnumshift/types';

/** Value of the platform object `config-segment/HASH`. */
export interface StoredSegment {
  /**
   * Generation of the head that the last publisher of the segment had read. The cleanup keeps segments whose base is
   * the current generation, because that publisher may still update the head.
   */
  readonly base: number;
  readonly segment: ConfigSegment;
}
