/** Times of a forwarding host, milliseconds. */
export const FORWARDER_TIMES = {
  /**
   * Changed servers are read together: each host adds to the pause, so that a fleet makes at most 200 calls a second for them.
   */
  gatherMsPerHost: 5,
  /** Wait of a watch of a host that others follow: with their own pause, copies stay younger than those of direct watches. */
  relayWatchMs: 700,
  /** The list of hosts is there after this time, but for outages of the store. */
  hostsKnownMs: 1000,
  /** From this speed of its link on, megabits in a second, a host's size is that of its processor: traffic of a large relay. */
  fullLinkMbps: 50,
  /** A server is back within two seconds after an outage of the store. */
  lapseGraceMs: 2000,
  /** The balancer takes a host out after two questions at one-second intervals. */
  rotationMs: 2600,
  /** Left of the grace time for the end of the process. */
  exitMs: 700,
  drainCheckMs: 50,
  /** Pauses between reads of cache events; a call's own pieces are known without them. */
  engineEventsMs: 1200,
  storeEventsMs: 350,
  /** Distance of two looks for pieces of outdated weights. */
  freePauseMs: 700,
  /** Lease of orders: see `LeaseDurations`. */
  lease: { holdMs: 1200, challengeMs: 1400, renewMs: 400, pollMs: 300 },
  /** Pause between looks at the lease while no engine needs an order, and of hosts that take it only when all candidates are lost. */
  idlePollMs: 3000,
  farPollMs: 6000,
  /** How often calls that may be repeated look whether their servers went silent. */
  silenceCheckMs: 250,
  /** How often waiting calls look for room: about the time between two ends of calls. */
  roomCheckMs: 30,
} as const;
