/**
 * The state of an engine for a placement decision. The load combines its last report, which lags, with the requests placed since,
 * less the share of the older system.
 */
export interface EngineState {
  readonly name: string;
  readonly url: string;
  readonly weightVersion: string;
  /** False while the engine is draining, loading, crashed, unresponsive, or backed off after failures. */
  readonly usable: boolean;
  /** Requests in flight on the engine that are suspected of crashing engines. */
  readonly suspectsInFlight: number;
  /** Requests in flight, including those of other placing hosts. */
  readonly running: number;
  /** Slots that this system may use. */
  readonly slots: number;
  /** Estimated milliseconds until the prefill of a new request starts. */
  readonly queueMs: number;
  readonly prefillTokensPerSecond: number;
}
