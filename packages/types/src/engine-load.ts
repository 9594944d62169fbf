/** Load report of an engine. It lags behind the state of the engine. */
export interface EngineLoad {
  readonly boot_id: string;
  /** Time of the measurement on the engine's clock, milliseconds since the epoch. */
  readonly at: number;
  readonly weight_version: string;
  readonly adapters: readonly string[];
  readonly role: string;
  readonly leaving: boolean;
  readonly loading: boolean;
  readonly running: number;
  readonly queued_tokens: number;
  readonly running_tokens: number;
  readonly slots: number;
  /** Fraction of the engine that the older system uses, 0 to 1. */
  readonly other_share: number;
  readonly last_fencing: number;
}
