/** An attempt to run a call, as observed by the quarantine. */
export interface ObservedAttempt {
  /** Records that the server has produced events of the answer. */
  readonly observeEvents: () => void;
  /** Ends the observation. `whole`: the answer is complete. `broken`: the connection broke off. `open`: any other end. */
  readonly finish: (end: 'whole' | 'broken' | 'open') => void;
}
