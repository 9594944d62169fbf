/** Size and time limits of the node mesh. Times are in milliseconds. */
export interface MeshLimits {
  /** Largest frame in either direction, bytes. */
  readonly maxFrameBytes: number;
  /** Largest size of the send queue of one channel, bytes. */
  readonly maxSendQueueBytes: number;
  /** Largest number of requests without a reply on one link, and of requests that run for one peer. */
  readonly maxPendingRequests: number;
  /** Largest number of open incoming links. */
  readonly maxIncomingLinks: number;
  /** Interval of the liveness checks, and of the pings on a link with pending requests. */
  readonly heartbeatMs: number;
  /** A link with pending requests that receives nothing for this long is silent. */
  readonly silentMs: number;
  /**
   * A link without pending requests is pinged only after this much silence. With a ping every 500 ms, the 469 links of a
   * node in a fleet of 470 nodes took 14% of a core.
   */
  readonly unusedLinkPingMs: number;
  /** Timeout for connecting and authentication. */
  readonly connectTimeoutMs: number;
  /** A link without requests for this long is closed, so that the number of pings does not grow with the fleet. */
  readonly idleTimeoutMs: number;
  /** Time for which a reply is cached in case its request is resent. */
  readonly replyRetentionMs: number;
  /** Largest total size of the replies cached for one peer, bytes. */
  readonly maxCachedReplyBytes: number;
}
