import type { PieceTable } from '@laburnumshift/track-engines';
import type { CacheChange } from './cache-change.js';

/** Applies a change to the table of cached pieces of an engine. A partly dropped piece stays with its remaining tokens. */
export function applyCacheChange(pieces: PieceTable, { isCleared, events }: CacheChange): void {
  if (isCleared) pieces.clear();
  for (const { isAdded, scope, piece, tokens } of events) {
    if (isAdded || tokens > 0) pieces.addPiece(scope, piece, tokens);
    else pieces.dropPiece(scope, piece);
  }
}
