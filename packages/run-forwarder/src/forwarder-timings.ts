/** Timing constants of a forwarding host, in milliseconds except where stated. */
export const FORWARDER_TIMINGS = {
  /**
   * Delay for batching server changes, per host of the fleet: the whole fleet makes at most 200 calls per second for them.
   */
  batchDelayMsPerHost: 5,
  /** Delay for batching server changes in large fleets, where one host makes these calls. */
  relayedBatchDelayMs: 40,
  /**
   * Maximum wait of a watch call on a host whose copies others follow: with their delay, the copies stay newer than those of direct
   * watches.
   */
  relayWatchWaitMs: 700,
  /**
   * Maximum age of the copies of platform objects that a host follows. Homes, which place the calls of their failure domains, follow
   * the first home host, whose watches end every 0.7 s; other hosts follow their home host. When a copy is older, the host reads the store
   * once and sends one message to its followers, which together stays below the usual bounds of 3 s.
   */
  maxHomeCopyAgeMs: 1500,
  maxFollowerCopyAgeMs: 2200,
  /** Maximum wait for the first list of hosts at startup. It arrives earlier unless the store is unavailable. */
  firstHostListTimeoutMs: 1000,
  /** Link rate, in megabits per second, from which on only the processor limits the size of a host: the traffic of a large relay. */
  fullSizeLinkMbps: 50,
  /** Time for which the entry of a server is kept after an outage of the store: servers register again within two seconds. */
  lapseGraceMs: 2000,
  /** Time before the end of a bound on calls at which the last one is sent: its way to the server, and late timers. */
  sendMarginMs: 300,
  /** Time until the load balancer stops sending connections: it removes a host after two failed checks at one-second intervals. */
  balancerRemovalMs: 2600,
  /** Time after the end of the listener in which connections that were just in use become idle and are closed. */
  idleCloseMs: 500,
  /** Part of the grace period that is reserved for the exit of the process. */
  exitReserveMs: 700,
  /** Part of that time in which calls without an answer get one. */
  lastAnswersMs: 200,
  /** Interval between checks for calls in flight during shutdown. */
  drainCheckIntervalMs: 50,
  /** Pauses between reads of cache events, of engines and of stores. The pieces of a host's own calls are known without them. */
  engineEventsIntervalMs: 1200,
  storeEventsIntervalMs: 350,
  /** Interval between searches for cached pieces of outdated weights, per host that reads the events of stores. */
  freeIntervalMs: 700,
  /** Durations of the lease for weight orders: see `LeaseDurations`. */
  lease: { holdMs: 1200, takeoverMs: 1400, renewMs: 400, pollMs: 300 },
  /**
   * Poll intervals of the lease: of candidates while no engine is outdated, and of hosts that take the lease only when all candidates are
   * lost.
   */
  idleLeasePollMs: 3000,
  nonCandidateLeasePollMs: 6000,
  /** Interval between the checks of calls for progress. */
  stallCheckIntervalMs: 250,
  /** Time for which the calls at one server share a report of its state. */
  maxReportAgeMs: 150,
  /** Interval between updates of the engines whose cache events this host reads, which depend on its role. */
  roleCheckIntervalMs: 1000,
  /** Time after which a new home host has received the load of all hosts: they report every 400 ms. */
  homeSettleMs: 900,
  /** Time for which a host keeps the lease after engines were last outdated, so that the next weights need no other holder. */
  leaseLingerMs: 10_000,
  /** Time without a change of servers or weights after which other hosts than candidates request the lease while engines are outdated. */
  rolloutStallMs: 2500,
  /** Interval between summary log lines. */
  summaryIntervalMs: 10_000,
} as const;
