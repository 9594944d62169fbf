import type { CacheEvent } from './cache-event.js';
import type { PieceRef } from './piece-ref.js';
import type { StoredPiece } from './stored-piece.js';

/**
 * Index of the cache pieces on the engines and stores of a cell, held by the cell's home node. A wrong entry costs a
 * recomputation and never causes a wrong answer.
 */
export interface CacheDirectory {
  /**
   * Applies a cache event. `gap` means that earlier events were lost and the caller must resynchronise the engine; `stale`
   * means that the sequence number is not above the last one and the event was ignored.
   */
  readonly applyEvent: (engine: string, event: CacheEvent) => 'applied' | 'gap' | 'stale';
  /** Replaces all entries of an engine with a full listing of its pieces as of event `seq`. */
  readonly replaceEngine: (
    engine: string,
    seq: number,
    pieces: readonly { readonly scope: string; readonly chain: string }[],
  ) => void;
  readonly removeEngine: (engine: string) => void;
  /** Records the pieces of a finished run as assumed to be cached on the engine until an event confirms or removes them. */
  readonly recordRunPieces: (engine: string, scope: string, pieces: readonly PieceRef[]) => void;
  /** Number of leading pieces that are cached, by engine; engines without any are omitted. */
  readonly countCachedPrefix: (scope: string, pieces: readonly PieceRef[]) => ReadonlyMap<string, number>;
  readonly replaceStore: (store: string, pieces: readonly StoredPiece[]) => void;
  readonly recordStoredPiece: (piece: StoredPiece) => void;
  readonly removeStoredPiece: (store: string, scope: string, chain: string) => void;
  readonly removeStore: (store: string) => void;
  /** Finds the copies of a piece in all stores. */
  readonly findStoredCopies: (scope: string, chain: string) => readonly StoredPiece[];
  /** Lists the pieces that a store is known to hold. */
  readonly listStoredPieces: (store: string) => readonly StoredPiece[];
  readonly getCounts: () => Readonly<Record<string, number>>;
}
