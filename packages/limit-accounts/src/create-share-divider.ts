import type { AccountLimits, ShareRequest } from '@laburnumshift/types';
import { splitLimit } from './split-limit.js';
import { buildLimits } from './build-limits.js';
import type { ShareDivider } from './share-divider.js';
import { SHARE_TIMES } from './share-times.js';

/** Part of a limit that is spread evenly, so that a node that asks while the others hold everything is not at zero. */
const EVEN_PART = 0.05;
/** Demand may grow by this factor between two refreshes without a refusal. */
const HEADROOM = 1.25;

interface Asker {
  demand: AccountLimits;
  granted: AccountLimits;
  untilMs: number;
}

/**
 * Creates the divider of a home. The sum of the shares that are valid at one time never exceeds the limit: a share grows
 * only by what others have given up or let expire. After the home has moved, small shares of the earlier one may add at
 * most the limit once more until they end.
 */
export function createShareDivider(
  getLimits: (account: string) => AccountLimits,
  countNodes: () => number,
): ShareDivider {
  const accounts = new Map<string, { readonly sinceMs: number; readonly askers: Map<string, Asker> }>();
  let sweptAtMs = 0;

  const dropIdle = (nowMs: number): void => {
    if (nowMs - sweptAtMs < SHARE_TIMES.validMs) return;
    sweptAtMs = nowMs;
    for (const [name, { askers }] of accounts) {
      for (const [host, asker] of askers) if (asker.untilMs <= nowMs) askers.delete(host);
      if (askers.size === 0) accounts.delete(name);
    }
  };
  const grantShare = (request: ShareRequest, nowMs: number): ReturnType<ShareDivider['grantShare']> => {
    dropIdle(nowMs);
    const account = accounts.get(request.account) ?? { sinceMs: nowMs, askers: new Map<string, Asker>() };
    accounts.set(request.account, account);
    const { askers } = account;
    const own: Asker = askers.get(request.host) ?? { demand: request, granted: request, untilMs: 0 };
    own.demand = request;
    askers.set(request.host, own);
    const others = [...askers.values()].filter((asker) => asker !== own && asker.untilMs > nowMs);
    const nodes = Math.max(countNodes(), others.length + 1);
    // Shares of an earlier home may still be valid during the first period.
    const isNew = nowMs - account.sinceMs < SHARE_TIMES.validMs;
    const limits = getLimits(request.account);
    own.granted = buildLimits((field) => {
      const limit = limits[field];
      const byDemand = limit * (1 - EVEN_PART);
      const even = (limit * EVEN_PART) / nodes;
      const demands = [own, ...others].map((asker) => asker.demand[field] * HEADROOM);
      const wanted = splitLimit(byDemand, demands, nodes)[0] ?? 0;
      const held = others.reduce((sum, asker) => sum + asker.granted[field], 0);
      // Every node may count on its even part, those included that have not asked yet.
      const free = Math.max(0, limit - held - even * (nodes - others.length - 1));
      return Math.min(wanted + even, free, isNew ? limit / nodes : Infinity);
    });
    const { requestsPerSecond, tokensPerSecond, concurrent } = own.granted;
    const isQuiet =
      requestsPerSecond * nodes <= limits.requestsPerSecond &&
      tokensPerSecond * nodes <= limits.tokensPerSecond &&
      concurrent * nodes <= limits.concurrent;
    const quietMs = Math.min(nodes * SHARE_TIMES.quietNodeMs, SHARE_TIMES.maxQuietMs);
    const validMs = isQuiet ? Math.max(quietMs, SHARE_TIMES.validMs) : SHARE_TIMES.validMs;
    own.untilMs = nowMs + validMs;
    return { account: request.account, limits: own.granted, validMs };
  };
  return { grantShare };
}
