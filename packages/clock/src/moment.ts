/** A point in time on two clocks. */
export interface Moment {
  readonly steadyMs: number;
  readonly wallMs: number;
}
