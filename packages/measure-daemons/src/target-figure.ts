/** One target of section 1.2 with the measured figure. */
export interface TargetFigure {
  readonly target: string;
  /** The figure must be at most this. */
  readonly limit: number;
  readonly measured: number;
  readonly met: boolean;
}
