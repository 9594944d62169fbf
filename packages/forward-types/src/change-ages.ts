/** Ages of changes that come from the copy of another host, milliseconds. */
export interface ChangeAges {
  /** Upper bound of the copy's age. */
  readonly ageMs: number;
  /** None of the changes was made longer ago. */
  readonly changedMs: number;
  /** Time since the store answered the other host again after an outage; infinite when there was none. */
  readonly recoveredMs: number;
}
