import type { PromptPiece } from '@laburnumshift/forward-types';
import type { CachedChain } from './cached-chain.js';

/** Cached pieces of one engine. */
export interface PieceTable {
  readonly addPiece: (scope: string, piece: string, tokens: number) => void;
  readonly dropPiece: (scope: string, piece: string) => void;
  readonly clear: () => void;
  /** A piece counts only if all pieces before it are cached whole. */
  readonly findChain: (scope: string, pieces: readonly PromptPiece[]) => CachedChain;
}
