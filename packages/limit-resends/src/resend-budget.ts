/** Limits how often calls are sent again. */
export interface ResendBudget {
  /** Counts a caller's call for the service. */
  readonly recordCall: (service: string) => void;
  /** Returns whether the service's budget has a resend left. */
  readonly hasResend: (service: string) => boolean;
  /** Takes one resend from the service's budget; false, without taking it, when the budget is used up. */
  readonly takeResend: (service: string) => boolean;
}
