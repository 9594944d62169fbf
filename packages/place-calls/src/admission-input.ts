/** What the admission of a call depends on. */
export interface AdmissionInput {
  /** Expected time to the answer's begin at the chosen server, milliseconds. */
  readonly expectedMs: number;
  /** Time that the call has left, milliseconds. */
  readonly remainingMs: number;
  /** Time to the answer's begin for full value, milliseconds. */
  readonly targetMs: number;
}
