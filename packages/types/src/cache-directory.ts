import type { CacheEvent } from './cache-event.js';
import type { PieceRef } from './piece-ref.js';
import type { StoredPiece } from './stored-piece.js';

/** Which pieces are where, as far as the home of a cell knows. A wrong entry costs a recomputation, never a wrong answer. */
export interface CacheDirectory {
  /** Applies an event; `gap` asks the caller for a resynchronisation, `stale` events are ignored. */
  readonly applyEvent: (engine: string, event: CacheEvent) => 'applied' | 'gap' | 'stale';
  /** Replaces what is known of an engine after a resynchronisation. */
  readonly replaceEngine: (
    engine: string,
    seq: number,
    pieces: readonly { readonly scope: string; readonly chain: string }[],
  ) => void;
  readonly removeEngine: (engine: string) => void;
  /** Assumes that a finished run left its pieces on the engine until events say otherwise. */
  readonly recordRun: (engine: string, scope: string, pieces: readonly PieceRef[]) => void;
  /** Leading pieces cached, by engine; engines with none are left out. */
  readonly countPrefix: (scope: string, pieces: readonly PieceRef[]) => ReadonlyMap<string, number>;
  readonly replaceStore: (store: string, pieces: readonly StoredPiece[]) => void;
  readonly recordStored: (piece: StoredPiece) => void;
  readonly removeStored: (store: string, scope: string, chain: string) => void;
  readonly removeStore: (store: string) => void;
  readonly findStored: (scope: string, chain: string) => readonly StoredPiece[];
  /** All pieces that are known to be in a store. */
  readonly listStored: (store: string) => readonly StoredPiece[];
  readonly getCounts: () => Readonly<Record<string, number>>;
}
