/** Average time for an output token of a service, learned from runs that ended. */
export interface TokenTimes {
  /** Records that a run made about `tokens` in `ms` milliseconds after its first event. */
  readonly observeRun: (service: string, tokens: number, ms: number) => void;
  /** Returns the average time for one output token, milliseconds. */
  readonly getTokenMs: (service: string) => number;
}
