import type { PlaceRequest } from '@laburnumshift/types';

/** The engines at one moment, for checking which waiting requests could run. */
export interface EngineFilter {
  readonly usable: number;
  readonly slots: { readonly free: number; readonly reserved: number };
  /** Some usable engine may run it, now or once it has room. */
  readonly canEverRun: (request: PlaceRequest) => boolean;
  /** Some engine has room for it. A suspect waits while the same fingerprint runs anywhere in the cell. */
  readonly canRunNow: (request: PlaceRequest) => boolean;
}
