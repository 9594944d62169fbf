/** State that an engine tells on request; some hundred milliseconds old. */
export interface EngineReport {
  /** An order is being carried out. */
  readonly isBusy: boolean;
  /** Orders accepted since the engine's start. */
  readonly orderCount: number;
  readonly waiting: number;
  readonly running: number;
  readonly versions: ReadonlyMap<string, number>;
}
