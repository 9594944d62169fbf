/** Limits of a rollout to the engines of one pool. */
export interface RolloutLimits {
  /** Interval between polls of the engines, milliseconds. */
  readonly pollIntervalMs: number;
  /**
   * Number of engines read in one poll while all engines are as declared. Reading 1,700 engines in each poll takes most of a
   * core. All engines are read while one of them needs a change or loads.
   */
  readonly enginesPerIdlePoll: number;
  /** Largest number of engines of the pool that load at once. */
  readonly maxConcurrentLoads: number;
  /** Largest number of weight loads ordered per second in this pool: the pool's share of the weight store's rate. */
  readonly weightLoadsPerSecond: number;
  /** Fraction of the pool's engines that stays in service during a rollout, 0 to 1. */
  readonly minInServiceShare: number;
  /** Time after loading before an engine counts as in service, milliseconds. */
  readonly warmUpMs: number;
  /** Time after sending in which an engine may start an order, milliseconds; shortened to the remaining time of the lease. */
  readonly deadlineMs: number;
  /** Upper bound of clock differences and delays of load reports, milliseconds. */
  readonly maxReportLagMs: number;
  /**
   * Delay before an engine whose order had no effect gets another one, milliseconds. It doubles each time up to
   * `maxBackoffMs`.
   */
  readonly initialBackoffMs: number;
  readonly maxBackoffMs: number;
}
