import { readMonotonicMs } from '@laburnumshift/clock';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import { PLACEMENT_TIMING } from './placement-timing.js';
import type { ReturnOrders } from './return-orders.js';

/** Time by which a caller may come before the promised time, milliseconds: Retry-After may be rounded on the way. */
const EARLY_MS = 50;
/** Time after the promised one until which an order is kept, milliseconds: network latency, and some delay at the caller. */
const LATE_MS = 500;
/** Time for which an order is kept for the call that claimed it, milliseconds: its host asks again within the maximum queue time. */
const CLAIM_TTL_MS = PLACEMENT_TIMING.maxQueueMs + 150;
/** Maximum number of orders; further refused callers get none. */
const MAX_ORDERS = 1024;

interface ReturnOrder {
  readonly key: string;
  readonly atMs: number;
}

/** Orders are for any call of the same service, priority and account, because a retry is a new call, often at another host. */
const buildKey = ({ service, priority, account }: PlacementRequest): string =>
  JSON.stringify([service, priority, account]);

/** Creates return orders without any promise. */
export function createReturnOrders(): ReturnOrders {
  /** Unclaimed orders by promised time. */
  let orders: ReturnOrder[] = [];
  /** Expiry of claimed orders by call, monotonic milliseconds. */
  const claims = new Map<string, number>();
  const dropExpired = (): void => {
    const now = readMonotonicMs();
    orders = orders.filter(({ atMs }) => atMs > now - LATE_MS);
    for (const [callId, untilMs] of claims) if (untilMs <= now) claims.delete(callId);
  };
  return {
    addOrder: (request, retryAfterMs) => {
      dropExpired();
      if (request.account === undefined || orders.length + claims.size >= MAX_ORDERS) return;
      orders.push({ key: buildKey(request), atMs: readMonotonicMs() + retryAfterMs });
    },
    claimOrder: (request, isNewCall) => {
      dropExpired();
      const now = readMonotonicMs();
      if (isNewCall && !claims.has(request.callId)) {
        const key = buildKey(request);
        const [due] = orders
          .filter((order) => order.key === key && order.atMs <= now + EARLY_MS)
          .sort((a, b) => a.atMs - b.atMs);
        if (due === undefined) return false;
        orders = orders.filter((order) => order !== due);
      } else if (!claims.has(request.callId)) return false;
      claims.set(request.callId, now + CLAIM_TTL_MS);
      return true;
    },
    hasDueOrder: (request) => {
      const now = readMonotonicMs();
      const key = buildKey(request);
      return orders.some(
        (order) => order.key === key && order.atMs > now - LATE_MS && order.atMs <= now + EARLY_MS,
      );
    },
    releaseCall: (callId) => {
      claims.delete(callId);
    },
    countOrders: () => orders.length + claims.size,
  };
}
