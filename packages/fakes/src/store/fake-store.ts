import type { StoredPiece, StoreStat } from '@laburnumshift/types';
import type { StoreCounters } from './store-counters.js';
import type { StoreFaults } from './store-faults.js';

/** A running fake store. */
export interface FakeStore {
  readonly name: string;
  readonly url: string;
  readonly port: number;
  /** Changes some fault switches; the others stay as they are. */
  readonly setFaults: (patch: Partial<StoreFaults>) => void;
  readonly getFaults: () => StoreFaults;
  readonly getStat: () => StoreStat;
  readonly getCounters: () => StoreCounters;
  readonly listPieces: () => readonly StoredPiece[];
  /** Frees a piece even when it is pinned. */
  readonly freePiece: (key: string) => void;
  /** Replaces the content of a piece under a new generation, even when it is pinned. */
  readonly rewritePiece: (key: string) => void;
  readonly close: () => Promise<void>;
}
