/** Results and timings of one host's calls since its last report, for the statistics of other hosts. */
export interface CallObservations {
  /** Per server, the calls that it answered and the calls that failed through its fault. */
  readonly results: readonly (readonly [server: string, served: number, failed: number])[];
  /** Per call, the prompt tokens prefilled before its first event, those queued before it included, and the time that took, milliseconds. */
  readonly reads: readonly (readonly [service: string, tokens: number, ms: number])[];
  /** Per fetch, its tokens and the delay of the first event beyond the expected time, milliseconds; 0 when there was none. */
  readonly fetches: readonly (readonly [source: string, tokens: number, excessMs: number])[];
  /** Per call, the time for which it occupied a slot, milliseconds. */
  readonly runs: readonly (readonly [service: string, ms: number])[];
}
