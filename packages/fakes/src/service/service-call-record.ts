/** A call that ran on a fake service or on the fake older system. */
export interface ServiceCallRecord {
  /** Idempotency key; empty without one. */
  readonly key: string;
  /** Arrival, monotonic clock, milliseconds. */
  readonly arrivedAtMs: number;
  /** Time at which it ran, monotonic clock, milliseconds. */
  readonly ranAtMs: number;
}
