import type { PoolConfig } from '@laburnumshift/types';
import type { CellOptions } from './cell-options.js';
import type { EngineRecord } from './engine-record.js';
import type { StoreRecord } from './store-record.js';

/** State of a home. It is held in memory only, and a new home rebuilds it from engine and store reports. */
export interface CellState {
  readonly options: CellOptions;
  pool: PoolConfig;
  readonly engines: Map<string, EngineRecord>;
  readonly stores: Map<string, StoreRecord>;
  /** Monotonic time at which an engine was last usable, initially the start of the home, milliseconds. */
  lastUsableAtMs: number;
  /** Placement decisions made; the round-robin policy takes its turn from it. */
  decisionCount: number;
  /** Grants the waiting requests that can run now; called whenever a slot may have become free. */
  grantWaiting: () => void;
}
