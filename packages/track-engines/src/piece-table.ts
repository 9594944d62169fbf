/** Cached pieces of one engine or store. */
export interface PieceTable {
  readonly addPiece: (scope: string, piece: string, tokens: number) => void;
  readonly dropPiece: (scope: string, piece: string) => void;
  readonly clear: () => void;
  /** Tokens of a piece; 0 when it is not cached. */
  readonly getTokens: (scope: string, piece: string) => number;
  /** Sum over all pieces. */
  readonly countTokens: () => number;
  /** Pieces whose scope fulfils the condition. */
  readonly listPieces: (isWanted: (scope: string) => boolean) => { scope: string; piece: string }[];
}
