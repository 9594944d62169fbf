/** Ages of changes that were read from another host's copy, milliseconds. */
export interface ChangeAges {
  /** Upper bound of the copy's age. */
  readonly ageMs: number;
  /** Upper bound of the age of every change. */
  readonly changedMs: number;
  /** Time since the end of the last store outage as the other host assumes it; infinite without one. */
  readonly recoveredMs: number;
}
