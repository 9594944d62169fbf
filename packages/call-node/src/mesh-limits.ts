/** Sizes and times of the node mesh. */
export interface MeshLimits {
  /** Largest frame in either direction, bytes. */
  readonly maxFrameBytes: number;
  /** Bytes that may wait in the send queue of one link. */
  readonly maxQueuedBytes: number;
  /** Requests without a reply on one link. */
  readonly maxPending: number;
  /** Incoming links at once. */
  readonly maxLinks: number;
  readonly heartbeatMs: number;
  /** A link without incoming bytes for this long is silent. */
  readonly silentMs: number;
  /**
   * A link on which nobody waits for a reply is pinged only after this much silence: with heartbeats every 500 ms, the
   * 469 links of a node at 470 nodes took 14% of a core.
   */
  readonly quietMs: number;
  /** Time for connecting and authentication. */
  readonly connectMs: number;
  /** A link without requests for this long is closed, so that the number of heartbeats does not grow with the fleet. */
  readonly idleMs: number;
  /** How long a reply is kept for a request that is asked again. */
  readonly keepReplyMs: number;
  /** Bytes of replies kept for one peer. */
  readonly maxKeptBytes: number;
}
