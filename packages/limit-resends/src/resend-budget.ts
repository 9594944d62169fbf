/** Limits how often calls are sent again. */
export interface ResendBudget {
  /** Counts a caller's call for the service. */
  readonly recordCall: (service: string) => void;
  /** Takes one resend from the service's budget; false, without taking it, when the budget is used up. */
  readonly takeResend: (service: string) => boolean;
}
