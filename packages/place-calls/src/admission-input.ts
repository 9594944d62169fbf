/** What the admission of a call depends on. */
export interface AdmissionInput {
  /** Expected time to the answer's begin at the chosen engine, milliseconds. */
  readonly expectedMs: number;
  /** Time until the chosen engine begins to read the prompt, milliseconds. */
  readonly queueMs: number;
  /** Share of the chosen engine's memory that running calls hold with this one. */
  readonly memoryShare: number;
  /** Time that the call has left, and has waited here, milliseconds. */
  readonly remainingMs: number;
  readonly waitedMs: number;
  /** Time to the answer's begin for full value, milliseconds. */
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}
