/** What the fake store has done since it started. */
export interface StoreCounters {
  readonly puts: number;
  readonly reads: number;
  readonly moves: number;
  readonly deletes: number;
  /** Modelled bytes read and written over the link. */
  readonly linkBytes: number;
  /** Pins that were neither released nor expired. */
  readonly pins: number;
}
