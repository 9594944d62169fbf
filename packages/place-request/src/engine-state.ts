/** An engine as the placement decision sees it, with corrected load. */
export interface EngineState {
  readonly name: string;
  readonly url: string;
  readonly weightVersion: string;
  /** False while the engine is leaving, loading, crashed, silent or backed off. */
  readonly usable: boolean;
  /** Suspects in flight on the engine. */
  readonly suspects: number;
  /** Requests in flight, corrected. */
  readonly running: number;
  /** Slots that this system may use. */
  readonly slots: number;
  /** Estimated milliseconds until the prefill of a new request starts. */
  readonly queueMs: number;
  readonly prefillTokensPerSecond: number;
}
