/** Cached pieces of one engine or store, each under its cache scope. */
export interface PieceTable {
  /** Adds a piece or replaces its tokens. */
  readonly addPiece: (scope: string, piece: string, tokens: number) => void;
  readonly dropPiece: (scope: string, piece: string) => void;
  readonly clear: () => void;
  /** Returns the tokens of a piece; 0 when it is not cached. */
  readonly getTokens: (scope: string, piece: string) => number;
  /** Returns the tokens of all pieces together. */
  readonly countTokens: () => number;
  /** Lists the pieces whose scope fulfils the condition. */
  readonly listPieces: (isWanted: (scope: string) => boolean) => { scope: string; piece: string }[];
}
