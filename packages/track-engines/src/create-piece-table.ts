import type { PieceTable } from './piece-table.js';

/** Pieces kept for one engine; the one added longest ago goes first. An entry takes about 100 bytes. */
const MAX_PIECES = 4000;

/** Creates an empty table. */
export function createPieceTable(): PieceTable {
  const tokensByPiece = new Map<string, number>();
  const buildKey = (scope: string, piece: string): string => `${scope} ${piece}`;
  return {
    addPiece: (scope, piece, tokens) => {
      const key = buildKey(scope, piece);
      tokensByPiece.delete(key);
      tokensByPiece.set(key, tokens);
      const oldest = tokensByPiece.size > MAX_PIECES ? tokensByPiece.keys().next().value : undefined;
      if (oldest !== undefined) tokensByPiece.delete(oldest);
    },
    dropPiece: (scope, piece) => {
      tokensByPiece.delete(buildKey(scope, piece));
    },
    clear: () => {
      tokensByPiece.clear();
    },
    findChain: (scope, pieces) => {
      let tokens = 0;
      let count = 0;
      for (const piece of pieces) {
        const cached = tokensByPiece.get(buildKey(scope, piece.id)) ?? 0;
        tokens += Math.min(cached, piece.tokens);
        if (cached > 0) count += 1;
        if (cached < piece.tokens) break;
      }
      return { pieces: count, tokens };
    },
  };
}
