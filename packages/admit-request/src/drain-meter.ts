/** Measures how fast a queue drains while it has entries. */
export interface DrainMeter {
  /** Tells whether entries wait now; time without entries does not count. */
  readonly setBusy: (busy: boolean, nowMs: number) => void;
  readonly addTokens: (tokens: number) => void;
  /** Tokens per millisecond, more than 0. */
  readonly getRate: (nowMs: number) => number;
}
