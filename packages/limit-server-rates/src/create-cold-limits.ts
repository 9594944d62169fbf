import { readMonotonicMs, readWallMs } from '@laburnumshift/clock';
import type { ColdLimits } from './cold-limits.js';
import type { ColdLimitsOptions } from './cold-limits-options.js';
import type { ColdServer } from './cold-server.js';
import type { ColdShare } from './cold-share.js';
import { computeColdShare } from './compute-cold-share.js';
import type { RoomForecast } from './room-forecast.js';

/** Wait that is forecast while the other hosts are unknown, milliseconds: the first list of hosts usually takes less. */
const UNKNOWN_WAIT_MS = 1000;
/**
 * Time after the first list of hosts in which this host has no part of any rate, milliseconds: hosts that start together may not all be
 * in it.
 */
const SETTLE_MS = 1000;
const MS_PER_S = 1000;

/** Creates the limits of a host for cold servers. Until a host has sent its first call, its interval counts from its start. */
export function createColdLimits({ self, listPeers, isJoined, bounds }: ColdLimitsOptions): ColdLimits {
  const createdMs = readMonotonicMs();
  /** When calls were last sent, by server id, monotonic milliseconds. */
  const sentMs = new Map<string, number>();
  let shares = new Map<number, ColdShare>();
  let sharesPeers: readonly unknown[] | undefined;
  let joinedMs: number | undefined;

  const getShare = (coldPerS: number, isReading = false): ColdShare | undefined => {
    if (!isJoined()) return undefined;
    // The settling time begins with the first call, not with a request to explain one.
    if (isReading && joinedMs === undefined) return undefined;
    joinedMs ??= readMonotonicMs();
    if (readMonotonicMs() - joinedMs < SETTLE_MS) return undefined;
    const peers = listPeers();
    if (peers !== sharesPeers) shares = new Map();
    sharesPeers = peers;
    const known = shares.get(coldPerS);
    if (known !== undefined) return known;
    const { coldOver: over, coldSlack: slack } = bounds;
    const share = computeColdShare(self, peers, { coldPerS, over, slack });
    shares.set(coldPerS, share);
    return share;
  };
  /** Returns the time until the host may send a call to the server, milliseconds; 0 when it may now. */
  const computeWaitMs = ({ id }: ColdServer, share: ColdShare): number => {
    const lastMs = sentMs.get(id) ?? createdMs;
    const sinceLastMs = readMonotonicMs() - lastMs;
    if (share.slot === undefined) return Math.max(0, share.intervalMs - sinceLastMs);
    const { offsetMs, lengthMs } = share.slot;
    const positionMs = (readWallMs() - offsetMs) % share.intervalMs;
    if (positionMs >= lengthMs || sinceLastMs < lengthMs) return share.intervalMs - positionMs;
    return 0;
  };

  const estimateRoom = (
    servers: readonly ColdServer[],
    coldPerS: number,
    share: ColdShare | undefined,
  ): RoomForecast => {
    const now = readMonotonicMs();
    const waits = servers.map((server) =>
      Math.min(
        Math.max(0, (server.coldUntilMs ?? now) - now),
        share === undefined ? UNKNOWN_WAIT_MS : computeWaitMs(server, share),
      ),
    );
    const ratePerS = (share?.ratePerS ?? coldPerS) * Math.max(1, servers.length);
    return { firstMs: Math.min(...waits), perCallMs: MS_PER_S / ratePerS };
  };

  return {
    hasRoom: (server, coldPerS) => {
      const share = getShare(coldPerS);
      return share !== undefined && computeWaitMs(server, share) === 0;
    },
    takeRoom: ({ id }) => {
      sentMs.set(id, readMonotonicMs());
    },
    estimateRoom: (servers, coldPerS) => estimateRoom(servers, coldPerS, getShare(coldPerS)),
    getReader: () => ({
      hasRoom: (server, coldPerS) => {
        const share = getShare(coldPerS, true);
        return share !== undefined && computeWaitMs(server, share) === 0;
      },
      takeRoom: () => undefined,
      estimateRoom: (servers, coldPerS) => estimateRoom(servers, coldPerS, getShare(coldPerS, true)),
    }),
    removeServer: (id) => {
      sentMs.delete(id);
    },
  };
}
