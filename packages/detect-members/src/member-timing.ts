/** Intervals and timeouts of the failure detector, milliseconds. */
export interface MemberTiming {
  /** Mean interval between probes; each one varies by up to 10%. */
  readonly periodMs: number;
  /** Timeout of a direct probe. */
  readonly directMs: number;
  /** Timeout of an indirect probe through another member, which has half of it for its own probe. */
  readonly indirectMs: number;
  /** Time for a suspected member to refute the suspicion before it is declared dead. */
  readonly suspectMs: number;
  /** Interval between checks of the suspicions. */
  readonly tickMs: number;
  /** Mean interval between reads of the host list; each one varies by up to 10%. */
  readonly hostsMs: number;
}
