/** What decides whether a run is worth a copy, whichever engine holds it. */
export interface RunFacts {
  /** The run is a stream. */
  readonly isStream: boolean;
  /** The run may be sent again to another engine after it broke. */
  readonly isRepeatable: boolean;
  /** Average time between unannounced ends of one engine, milliseconds; `undefined` where engines rarely end. */
  readonly engineLifeMs: number | undefined;
  /** The engine of the run gets no new calls, or its calls failed recently. */
  readonly isSourceAtRisk: boolean;
  /** Expected time from the dispatch of the run to its end, milliseconds. */
  readonly expectedRunMs: number;
  /** Time that the caller waits at most, milliseconds. */
  readonly remainingMs: number;
  /** Expected output, tokens. */
  readonly outputTokens: number;
  /** Copies of this host's runs at all engines. */
  readonly copies: number;
}
