import type { PlaceReply, PlaceRequest } from '@laburnumshift/types';
import type { Ticket } from './ticket.js';

/** Creates the ticket of a request that has just arrived. */
export function createTicket(request: PlaceRequest, nowMs: number): Ticket {
  let resolve: (reply: PlaceReply) => void = () => undefined;
  const answer = new Promise<PlaceReply>((settle) => {
    resolve = settle;
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
