/** A run that began on the fake engine, over all boots. */
export interface EngineRunRecord {
  readonly requestId: string;
  readonly scope: string;
  readonly weightVersion: string;
  /** Arrival of the request; it may wait for a slot. Monotonic clock, milliseconds. */
  readonly arrivedAtMs: number;
  /** Start on the monotonic clock, milliseconds. */
  readonly startedAtMs: number;
  /** In what a block that the run used differed from the run; empty while all blocks were its own. */
  foreignBy: readonly ('scope' | 'version' | 'text')[];
}
