/** Limits of rollouts. */
export interface OrderLimits {
  readonly periodMs: number;
  /**
   * Engines read in one period while all are as declared; a pool of 1,700 engines read each period takes most of a core.
   * As soon as an order is due, or an engine loads, all are read.
   */
  readonly idleReads: number;
  /** Engines of a pool that load at once. */
  readonly maxLoading: number;
  /** Weight loads ordered per second in this pool; its part of the weight store's rate. */
  readonly loadsPerSecond: number;
  /** Part of a pool's engines that stays in service during a rollout, 0 to 1. */
  readonly keepShare: number;
  /** Time after loading until an engine counts as warm, milliseconds. */
  readonly warmMs: number;
  /** An engine must not start an order after this time, milliseconds. */
  readonly deadlineMs: number;
  /** Largest clock difference and delay of load reports, milliseconds. */
  readonly reportLagMs: number;
  /** Pause before an engine whose order had no effect is ordered again; doubled each time up to `maxBackoffMs`. */
  readonly backoffMs: number;
  readonly maxBackoffMs: number;
}
