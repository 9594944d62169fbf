import type { EnginePlacementRequest } from '@laburnumshift/types';

/** Engines of the cell at one moment, for checking which waiting requests could run. */
export interface EngineSnapshot {
  /** Number of engines that may get new requests. */
  readonly usable: number;
  /** Slots of all usable engines: unused ones, and those reserved for urgent requests. */
  readonly slots: { readonly free: number; readonly reserved: number };
  /** Returns true when a usable engine can run the request now or once it has a free slot. */
  readonly canEverRun: (request: EnginePlacementRequest) => boolean;
  /**
   * Returns true when an engine has a free slot for the request. A request suspected of crashing engines also waits while
   * another request with its fingerprint runs in the cell.
   */
  readonly canRunNow: (request: EnginePlacementRequest) => boolean;
}
