import type { PoolConfig } from '@laburnumshift/types';
import type { CellOptions } from './cell-options.js';
import type { EngineRecord } from './engine-record.js';
import type { StoreRecord } from './store-record.js';

/** The state shared by the parts of a home. All of it can be rebuilt. */
export interface CellState {
  readonly options: CellOptions;
  pool: PoolConfig;
  readonly engines: Map<string, EngineRecord>;
  readonly stores: Map<string, StoreRecord>;
  /** When some engine was last usable; at first the start of the home. */
  lastUsableAtMs: number;
  /** Decisions made, for the round robin baseline. */
  turn: number;
  /** Grants what can be granted; called whenever a slot may have become free. */
  grantWaiting: () => void;
}
