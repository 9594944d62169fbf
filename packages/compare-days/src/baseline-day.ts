/** Baseline figures of a day of a site. */
export interface BaselineDay {
  readonly site: string;
  readonly day: string;
  /** Value of the served requests minus costs; at most 1. */
  readonly worth: number;
  /** First 7 digits of the hash of the commit that was run. */
  readonly commit: string;
}
