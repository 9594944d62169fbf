import type { PromptPiece } from '@laburnumshift/forward-types';

/** Pieces that engines are expected to cache for recently placed calls, before their cache events state it. */
export interface ExpectedPieces {
  readonly addPieces: (server: string, scope: string, pieces: readonly PromptPiece[]) => void;
  /** Returns the tokens of a piece that is expected at an engine; 0 when it is not. */
  readonly getTokens: (server: string, scope: string, piece: string) => number;
}
