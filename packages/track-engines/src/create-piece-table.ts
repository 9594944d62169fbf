import type { PieceTable } from './piece-table.js';

/** Most pieces recorded for one engine or store; beyond that the one added longest ago is removed. An entry takes about 100 bytes. */
const MAX_PIECES = 8000;

/** Creates an empty table. */
export function createPieceTable(): PieceTable {
  const tokensByPiece = new Map<string, number>();
  let totalTokens = 0;
  const buildKey = (scope: string, piece: string): string => `${scope} ${piece}`;
  const removeKey = (key: string): void => {
    totalTokens -= tokensByPiece.get(key) ?? 0;
    tokensByPiece.delete(key);
  };
  return {
    addPiece: (scope, piece, tokens) => {
      const key = buildKey(scope, piece);
      removeKey(key);
      tokensByPiece.set(key, tokens);
      totalTokens += tokens;
      const oldest = tokensByPiece.size > MAX_PIECES ? tokensByPiece.keys().next().value : undefined;
      if (oldest !== undefined) removeKey(oldest);
    },
    dropPiece: (scope, piece) => {
      removeKey(buildKey(scope, piece));
    },
    clear: () => {
      tokensByPiece.clear();
      totalTokens = 0;
    },
    getTokens: (scope, piece) => tokensByPiece.get(buildKey(scope, piece)) ?? 0,
    countTokens: () => totalTokens,
    listPieces: (isWanted) =>
      [...tokensByPiece.keys()].flatMap((key) => {
        const separatorAt = key.indexOf(' ');
        const scope = key.slice(0, separatorAt);
        return isWanted(scope) ? [{ scope, piece: key.slice(separatorAt + 1) }] : [];
      }),
  };
}
