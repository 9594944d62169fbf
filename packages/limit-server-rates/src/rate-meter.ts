/** Rates of calls by service. */
export interface RateMeter {
  readonly recordCall: (service: string) => void;
  /** Returns the recent rate of calls for a service, calls a second. */
  readonly getRate: (service: string) => number;
}
