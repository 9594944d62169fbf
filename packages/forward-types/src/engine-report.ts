/** State of an engine as it reports it on request; some hundred milliseconds old. */
export interface EngineReport {
  /** The engine is executing an order. */
  readonly isExecutingOrder: boolean;
  /** Orders accepted since the engine started. */
  readonly orderCount: number;
  /** Calls that wait for a slot. */
  readonly waiting: number;
  /** Calls that run. */
  readonly running: number;
  /** Weight versions by model name. */
  readonly versions: ReadonlyMap<string, number>;
}
