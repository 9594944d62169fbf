import type { EnginePlacementReply, EnginePlacementRequest } from '@laburnumshift/types';
import type { PendingPlacement } from './pending-placement.js';

/** Creates the pending placement of a request that has just arrived. */
export function createPendingPlacement(request: EnginePlacementRequest, nowMs: number): PendingPlacement {
  let resolve: (reply: EnginePlacementReply) => void = () => undefined;
  const answer = new Promise<EnginePlacementReply>((resolveReply) => {
    resolve = resolveReply;
  });
  return {
    request,
    deadlineAtMs: nowMs + request.remainingMs,
    waiters: 0,
    reply: undefined,
    replyAtMs: 0,
    noEngineSinceMs: undefined,
    answer,
    resolve,
  };
}
