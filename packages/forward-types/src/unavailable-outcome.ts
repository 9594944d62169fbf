/** Result of a call that the store did not answer, or that was not made because the store did not answer earlier ones. */
export interface UnavailableOutcome {
  readonly kind: 'unavailable';
  readonly reason: string;
  /** Set when the call was not made: time since the last failed call to the store was sent, milliseconds. */
  readonly failedMs?: number;
}
