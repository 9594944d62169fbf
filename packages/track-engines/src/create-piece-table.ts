import type { PieceTable } from './piece-table.js';

/** Pieces kept for one engine or store; the one added longest ago goes first. An entry takes about 100 bytes. */
const MAX_PIECES = 8000;

/** Creates an empty table. */
export function createPieceTable(): PieceTable {
  const tokensByPiece = new Map<string, number>();
  let total = 0;
  const buildKey = (scope: string, piece: string): string => `${scope} ${piece}`;
  const removeKey = (key: string): void => {
    total -= tokensByPiece.get(key) ?? 0;
    tokensByPiece.delete(key);
  };
  return {
    addPiece: (scope, piece, tokens) => {
      const key = buildKey(scope, piece);
      removeKey(key);
      tokensByPiece.set(key, tokens);
      total += tokens;
      const oldest = tokensByPiece.size > MAX_PIECES ? tokensByPiece.keys().next().value : undefined;
      if (oldest !== undefined) removeKey(oldest);
    },
    dropPiece: (scope, piece) => {
      removeKey(buildKey(scope, piece));
    },
    clear: () => {
      tokensByPiece.clear();
      total = 0;
    },
    getTokens: (scope, piece) => tokensByPiece.get(buildKey(scope, piece)) ?? 0,
    countTokens: () => total,
    listPieces: (isWanted) =>
      [...tokensByPiece.keys()].flatMap((key) => {
        const at = key.indexOf(' ');
        const scope = key.slice(0, at);
        return isWanted(scope) ? [{ scope, piece: key.slice(at + 1) }] : [];
      }),
  };
}
