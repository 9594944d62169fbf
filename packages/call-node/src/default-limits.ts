import type { MeshLimits } from './mesh-limits.js';

/** Default limits. A heartbeat every 500 ms and silence after 1.5 s keep the time bounds between nodes. */
export const DEFAULT_LIMITS: MeshLimits = {
  maxFrameBytes: 8 * 1024 * 1024,
  maxSendQueueBytes: 16 * 1024 * 1024,
  maxPendingRequests: 4096,
  maxIncomingLinks: 2048,
  heartbeatMs: 500,
  silentMs: 1500,
  unusedLinkPingMs: 2000,
  connectTimeoutMs: 1000,
  idleTimeoutMs: 10_000,
  replyRetentionMs: 10_000,
  maxCachedReplyBytes: 8 * 1024 * 1024,
};
