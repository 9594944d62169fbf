import type { PieceTable } from '@laburnumshift/track-engines';
import type { ReadChange } from './read-change.js';

/** Brings the table of an engine's pieces up to date. A piece that was dropped in part stays with the tokens that are left. */
export function applyChange(pieces: PieceTable, { isCleared, events }: ReadChange): void {
  if (isCleared) pieces.clear();
  for (const { isAdded, scope, piece, tokens } of events) {
    if (isAdded || tokens > 0) pieces.addPiece(scope, piece, tokens);
    else pieces.dropPiece(scope, piece);
  }
}
