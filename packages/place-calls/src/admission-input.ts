/** What the admission of a call depends on. */
export interface AdmissionInput {
  /** Expected time to the first event of the answer at the chosen engine, milliseconds. */
  readonly expectedMs: number;
  /** Expected time until the chosen engine starts to prefill the prompt, milliseconds. */
  readonly queueMs: number;
  /** Share of the chosen engine's memory in use by running calls and this one; above 1 when it does not fit. */
  readonly memoryShare: number;
  /** Time that the call has left, milliseconds. */
  readonly remainingMs: number;
  /** Time that the call has waited at this host, milliseconds. */
  readonly waitedMs: number;
  /** Target latency to the first event of the answer, milliseconds; a later answer loses value. */
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}
