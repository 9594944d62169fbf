import { createAdmissionQueue } from '@laburnumshift/admit-request';
import { readMonotonicMs, waitAtMost } from '@laburnumshift/clock';
import type { PlaceReply } from '@laburnumshift/types';
import { buildAdmissionEntry } from './build-admission-entry.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';
import { createEngineScreen } from './create-engine-screen.js';
import { createTicket } from './create-ticket.js';
import type { PlaceDesk } from './place-desk.js';
import { releaseRun } from './release-run.js';
import { startGrant } from './start-grant.js';
import type { Ticket } from './ticket.js';

/** Creates the desk of a home. */
export function createPlaceDesk(state: CellState): PlaceDesk {
  const { metrics } = state.options;
  const prefillRate = [...state.engines.values()].reduce((sum, engine) => sum + engine.prefillRate, 0);
  const queue = createAdmissionQueue({ tokensPerSecond: Math.max(prefillRate, 1) });
  const tickets = new Map<string, Ticket>();
  let granting = false;
  let closed = false;

  const setReply = (ticket: Ticket, reply: PlaceReply): void => {
    ticket.reply = reply;
    ticket.replyAtMs = readMonotonicMs();
    ticket.resolve(reply);
    metrics?.addCount(`cell_place_${reply.kind}`, 1);
  };
  const grantWaiting = (): void => {
    if (granting || closed || queue.getCounts().waiting === 0) return;
    granting = true;
    const nowMs = readMonotonicMs();
    for (;;) {
      const screen = createEngineScreen(state, nowMs);
      const entry = queue.takeNext(nowMs, screen.slots, ({ requestId }) => {
        const ticket = tickets.get(requestId);
        return ticket !== undefined && ticket.waiters > 0 && screen.canRunNow(ticket.request);
      });
      const ticket = tickets.get(entry?.requestId ?? '');
      if (ticket === undefined) break;
      startGrant(state, ticket.request, ticket.deadlineAtMs - nowMs, nowMs, (reply) => {
        setReply(ticket, reply);
      });
    }
    granting = false;
  };
  const openTicket: (...args: Parameters<PlaceDesk['place']>) => Ticket | PlaceReply = (request) => {
    const nowMs = readMonotonicMs();
    // The request runs nowhere any more when its entry node asks anew, e.g. after a broken stream.
    releaseRun(state, request.requestId);
    const built = buildAdmissionEntry(state, request, nowMs);
    if ('refusal' in built) return built.refusal;
    const refusal = queue.addEntry(built.entry, nowMs);
    if (refusal !== undefined) {
      return { kind: 'refused', code: refusal.code, retryAfterMs: refusal.retryAfterMs };
    }
    const ticket = createTicket(request, nowMs);
    tickets.set(request.requestId, ticket);
    return ticket;
  };
  const place: PlaceDesk['place'] = async (request) => {
    if (closed) return { kind: 'queued', position: 0 };
    const { requestId, waitMs } = request;
    const ticket = tickets.get(requestId) ?? openTicket(request);
    if ('kind' in ticket) {
      metrics?.addCount(`cell_place_${ticket.kind}`, 1);
      return ticket;
    }
    ticket.request = request;
    ticket.waiters += 1;
    queue.markAsked(requestId, readMonotonicMs());
    grantWaiting();
    const reply = ticket.reply ?? (await waitAtMost(ticket.answer, waitMs));
    ticket.waiters -= 1;
    if (reply === undefined) {
      queue.markAsked(requestId, readMonotonicMs());
      return { kind: 'queued', position: queue.getPosition(requestId) ?? 0 };
    }
    if (tickets.get(requestId) === ticket) tickets.delete(requestId);
    return reply;
  };

  const refuseWithoutEngine = (nowMs: number): void => {
    const screen = createEngineScreen(state, nowMs);
    if (screen.usable > 0) state.lastUsableAtMs = nowMs;
    for (const [requestId, ticket] of tickets) {
      if (ticket.reply !== undefined || queue.getPosition(requestId) === undefined) continue;
      if (screen.canEverRun(ticket.request)) ticket.noEngineSinceMs = undefined;
      else ticket.noEngineSinceMs ??= nowMs;
      if (nowMs - (ticket.noEngineSinceMs ?? nowMs) < CELL_TIMES.noEngineMs) continue;
      queue.cancelEntry(requestId);
      setReply(ticket, { kind: 'refused', code: 'no_engine', retryAfterMs: CELL_TIMES.noEngineRetryMs });
    }
  };
  const expireWaiting = (): void => {
    const nowMs = readMonotonicMs();
    for (const entry of queue.dropExpired(nowMs)) tickets.delete(entry.requestId);
    for (const { requestId, code, retryAfterMs } of queue.refuseLate(nowMs)) {
      const ticket = tickets.get(requestId);
      if (ticket !== undefined) setReply(ticket, { kind: 'refused', code, retryAfterMs });
    }
    refuseWithoutEngine(nowMs);
    for (const [requestId, ticket] of tickets) {
      const unasked = ticket.reply !== undefined && ticket.waiters === 0;
      if (!unasked || nowMs - ticket.replyAtMs < CELL_TIMES.grantKeptMs) continue;
      tickets.delete(requestId);
      if (ticket.reply?.kind === 'granted') releaseRun(state, requestId);
    }
    for (const record of state.engines.values()) {
      for (const run of record.running.values()) {
        if (run.expiresAtMs < nowMs) releaseRun(state, run.requestId);
      }
    }
    grantWaiting();
  };

  return {
    place,
    grantWaiting,
    expireWaiting,
    getCounts: queue.getCounts,
    close: () => {
      closed = true;
      for (const ticket of tickets.values()) ticket.resolve({ kind: 'queued', position: 0 });
      tickets.clear();
    },
  };
}
