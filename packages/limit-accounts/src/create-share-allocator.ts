import type { AccountLimits, ShareRequest } from '@laburnumshift/types';
import { splitLimit } from './split-limit.js';
import { buildLimits } from './build-limits.js';
import type { ShareAllocator } from './share-allocator.js';
import { SHARE_TIMING } from './share-timing.js';

/** Fraction of a limit that is divided evenly, so that a node that asks while the others hold the rest gets more than zero. */
const EVEN_FRACTION = 0.05;
/** Factor by which the demand of a node may grow between two refreshes without refusals. */
const DEMAND_HEADROOM = 1.25;

/** A node that was granted a share of an account, until a monotonic time in milliseconds. */
interface ShareHolder {
  demand: AccountLimits;
  granted: AccountLimits;
  untilMs: number;
}

/**
 * Creates the share allocator of a home. The sum of the shares that are valid at the same time never exceeds the limit: a share grows
 * only by what other nodes have given up or let expire. After the home of an account has moved, small shares that the earlier
 * home granted may add up to the limit once more until they end.
 */
export function createShareAllocator(
  getLimits: (account: string) => AccountLimits,
  countNodes: () => number,
): ShareAllocator {
  const accounts = new Map<
    string,
    { readonly sinceMs: number; readonly holders: Map<string, ShareHolder> }
  >();
  let lastCleanupAtMs = 0;

  const removeExpired = (nowMs: number): void => {
    if (nowMs - lastCleanupAtMs < SHARE_TIMING.validMs) return;
    lastCleanupAtMs = nowMs;
    for (const [name, { holders }] of accounts) {
      for (const [host, holder] of holders) if (holder.untilMs <= nowMs) holders.delete(host);
      if (holders.size === 0) accounts.delete(name);
    }
  };
  const grantShare = (request: ShareRequest, nowMs: number): ReturnType<ShareAllocator['grantShare']> => {
    removeExpired(nowMs);
    const account = accounts.get(request.account) ?? {
      sinceMs: nowMs,
      holders: new Map<string, ShareHolder>(),
    };
    accounts.set(request.account, account);
    const { holders } = account;
    const own: ShareHolder = holders.get(request.host) ?? { demand: request, granted: request, untilMs: 0 };
    own.demand = request;
    holders.set(request.host, own);
    const others = [...holders.values()].filter((holder) => holder !== own && holder.untilMs > nowMs);
    const nodes = Math.max(countNodes(), others.length + 1);
    // Shares that an earlier home granted may still be valid during the first period.
    const isFirstPeriod = nowMs - account.sinceMs < SHARE_TIMING.validMs;
    const limits = getLimits(request.account);
    own.granted = buildLimits((field) => {
      const limit = limits[field];
      const demandPart = limit * (1 - EVEN_FRACTION);
      const evenPart = (limit * EVEN_FRACTION) / nodes;
      const demands = [own, ...others].map((holder) => holder.demand[field] * DEMAND_HEADROOM);
      const demandShare = splitLimit(demandPart, demands, nodes)[0] ?? 0;
      const heldByOthers = others.reduce((sum, holder) => sum + holder.granted[field], 0);
      // The even part of each node that has not asked yet stays reserved.
      const free = Math.max(0, limit - heldByOthers - evenPart * (nodes - others.length - 1));
      return Math.min(demandShare + evenPart, free, isFirstPeriod ? limit / nodes : Infinity);
    });
    const { requestsPerSecond, tokensPerSecond, concurrent } = own.granted;
    const isSmallShare =
      requestsPerSecond * nodes <= limits.requestsPerSecond &&
      tokensPerSecond * nodes <= limits.tokensPerSecond &&
      concurrent * nodes <= limits.concurrent;
    const smallShareMs = Math.min(
      nodes * SHARE_TIMING.smallShareValidMsPerNode,
      SHARE_TIMING.maxSmallShareValidMs,
    );
    const validMs = isSmallShare ? Math.max(smallShareMs, SHARE_TIMING.validMs) : SHARE_TIMING.validMs;
    own.untilMs = nowMs + validMs;
    return { account: request.account, limits: own.granted, validMs };
  };
  return { grantShare };
}
