/** Times of a lease, milliseconds. `challengeMs` must be longer than `holdMs` by the difference of two clocks' rates. */
export interface LeaseDurations {
  readonly challengeMs: number;
  readonly renewMs: number;
  readonly holdMs: number;
  readonly pollMs: number;
}
