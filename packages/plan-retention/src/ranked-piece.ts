import type { StoredPiece } from '@laburnumshift/types';
import type { PieceUse } from './piece-use.js';

/** A stored piece with its value. */
export interface RankedPiece {
  readonly piece: StoredPiece;
  readonly use: PieceUse | undefined;
  readonly density: number;
}
