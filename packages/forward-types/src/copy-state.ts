/** How recent a host's copy of one kind of platform objects is. */
export interface CopyState {
  readonly kind: string;
  /** Revision of the store at which the copy was last confirmed to be current. */
  readonly revision: number;
  /** Revision of the newest change of the kind; a copy confirmed at this revision or later is complete. */
  readonly newest: number;
  /** Upper bound of the copy's age, milliseconds. */
  readonly ageMs: number;
  /** Milliseconds since the end of the last store outage; infinite without one. */
  readonly recoveredMs: number;
}
