/** Options of `createRelayedSource`. */
export interface RelayedSourceOptions {
  /** Kinds of objects that the other host serves. */
  readonly kinds: readonly string[];
  /** Kinds whose copies may be stale for 20 s, as no bound depends on their age. None by default. */
  readonly staleTolerantKinds?: readonly string[];
  /**
   * Longest wait of a watch at the store, milliseconds, except for kinds that tolerate stale copies; shorter on hosts that
   * others follow.
   */
  readonly getMaxWaitMs: () => number;
  /** Maximum age of the other host's copy, milliseconds; an older copy is not followed. 1600 by default. */
  readonly getMaxAgeMs?: () => number;
  /** Whether there is a host to follow, so that the store is called only when that host fails; false by default. */
  readonly isFollower?: () => boolean;
  /** Returns a number from 0 to 1 that spreads the calls of many hosts over time; `Math.random` by default. */
  readonly pickRandom?: () => number;
}
