/** Times of the failure detector, milliseconds. */
export interface MemberTiming {
  readonly periodMs: number;
  readonly directMs: number;
  readonly indirectMs: number;
  /** From the suspicion to the declaration of death. */
  readonly suspectMs: number;
  /** Between checks of the suspicions. */
  readonly tickMs: number;
  /** Between reads of the host list. */
  readonly hostsMs: number;
}
