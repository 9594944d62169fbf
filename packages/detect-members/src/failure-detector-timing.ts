/** Intervals and timeouts of the failure detector, milliseconds. */
export interface FailureDetectorTiming {
  /** Mean interval between probes; each one varies by up to 10%. */
  readonly probeIntervalMs: number;
  /** Timeout of a direct probe. */
  readonly directProbeTimeoutMs: number;
  /** Timeout of an indirect probe through another member, which has half of it for its own probe. */
  readonly indirectProbeTimeoutMs: number;
  /** Time for a suspected member to refute the suspicion before it is declared dead. */
  readonly suspicionTimeoutMs: number;
  /** Interval between checks of the suspicions. */
  readonly suspicionCheckIntervalMs: number;
  /** Mean interval between reads of the host list; each one varies by up to 10%. */
  readonly hostListIntervalMs: number;
}
