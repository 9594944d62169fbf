/** Repeats that this host may send. */
export interface ResendBudget {
  /** A caller's call for the service arrived. */
  readonly recordCall: (service: string) => void;
  /** Takes one repeat; false when the budget is used up. */
  readonly takeResend: (service: string) => boolean;
}
