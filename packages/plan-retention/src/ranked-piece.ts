import type { StoredPiece } from '@laburnumshift/types';
import type { PieceUse } from './piece-use.js';

/** A stored piece with its rank for eviction. */
export interface RankedPiece {
  readonly piece: StoredPiece;
  /** Usage record; `undefined` when none is kept. */
  readonly use: PieceUse | undefined;
  /**
   * Pieces of low density are evicted first. Value per mebibyte and second, or the order of last use in the keep-all
   * planner.
   */
  readonly density: number;
}
