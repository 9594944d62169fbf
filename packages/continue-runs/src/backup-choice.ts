/** The engine that holds the copy of a run, and the figures of the decision, for the log. */
export interface BackupChoice {
  readonly id: string;
  /** Time for which the transfer occupies the links of both engines, milliseconds. */
  readonly costMs: number;
  /** Expected loss that the copy avoids, milliseconds of delay. */
  readonly gainMs: number;
}
