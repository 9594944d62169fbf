import type { PlaceReply, PlaceRequest } from '@laburnumshift/types';
import type { PendingPlacement } from './pending-placement.js';

/** Creates the pending placement of a request that has just arrived. */
export function createPendingPlacement(request: PlaceRequest, nowMs: number): PendingPlacement {
  let resolve: (reply: PlaceReply) => void = () => undefined;
  const answer = new Promise<PlaceReply>((resolveReply) => {
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
