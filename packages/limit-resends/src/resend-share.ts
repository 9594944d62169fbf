/** Share of the fleet's resend budget that one owner may use. */
export interface ResendShare {
  /** Fraction of `ResendLimits.ratio` applied to the calls that the owner counts, 0 to 1. */
  readonly ratio: number;
  /** Fraction of `ResendLimits.slack`, 0 to 1. */
  readonly slack: number;
}
