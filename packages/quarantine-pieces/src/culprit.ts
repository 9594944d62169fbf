/** What is known of a trait that servers crash under. */
export interface Culprit {
  /** Number of moments at which servers crashed, without those that a more specific culprit explains. */
  readonly moments: number;
  /** Calls on the crashed servers had pieces behind this one, of which each may be the cause instead. */
  readonly isDoubtful: boolean;
}
