import type { MeshLimits } from './mesh-limits.js';

/** Default limits. A heartbeat every 500 ms and silence after 1.5 s keep the time bounds between nodes. */
export const DEFAULT_LIMITS: MeshLimits = {
  maxFrameBytes: 8 * 1024 * 1024,
  maxQueuedBytes: 16 * 1024 * 1024,
  maxPending: 4096,
  maxLinks: 2048,
  heartbeatMs: 500,
  silentMs: 1500,
  quietMs: 2000,
  connectMs: 1000,
  idleMs: 10_000,
  keepReplyMs: 10_000,
  maxKeptBytes: 8 * 1024 * 1024,
};
