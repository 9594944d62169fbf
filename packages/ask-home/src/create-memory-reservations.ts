import { readMonotonicMs } from '@laburnumshift/clock';
import { estimateHeldTokens } from '@laburnumshift/place-calls';
import type { MemoryReservations } from './memory-reservations.js';
import { PLACEMENT_TIMING } from './placement-timing.js';

/** Time over which the need of urgent calls is averaged, milliseconds: several calls, and less than a usual burst. */
const NEED_WINDOW_MS = 1000;
/** Time for whose expected need memory is kept free, milliseconds. With 500 ms less urgent calls lose more than urgent ones gain. */
const NEAR_TERM_MS = 150;
/** Largest share of an engine's memory that is kept free for expected calls, so that less urgent calls are never shut out. */
const MAX_EXPECTED_SHARE = 0.15;
/** Time without a renewal after which a reservation ends, milliseconds: a host asks again within the maximum queue time. */
const RESERVATION_TTL_MS = PLACEMENT_TIMING.maxQueueMs + 150;
/** Maximum number of (service, priority) pairs whose need is measured. */
const MAX_NEEDS = 256;

interface MeasuredNeed {
  readonly service: string;
  readonly priority: number;
  /** Tokens of calls that found no memory within about `NEED_WINDOW_MS`, as of `atMs`. */
  tokens: number;
  atMs: number;
}
interface EngineReservation {
  readonly callId: string;
  readonly priority: number;
  readonly tokens: number;
  readonly sinceMs: number;
  readonly untilMs: number;
}

/** Creates reservations without calls or measured need. */
export function createMemoryReservations(): MemoryReservations {
  const needs = new Map<string, MeasuredNeed>();
  /** At most one reservation for each engine. */
  const byEngine = new Map<string, EngineReservation>();
  const computeTokens = ({ tokens, atMs }: MeasuredNeed, now: number): number =>
    tokens * Math.exp((atMs - now) / NEED_WINDOW_MS);
  const releaseCall = (callId: string): void => {
    for (const [engine, reservation] of byEngine) if (reservation.callId === callId) byEngine.delete(engine);
  };
  return {
    observeNeed: ({ service, priority, prompt }) => {
      if (prompt === undefined) return;
      const now = readMonotonicMs();
      const key = JSON.stringify([service, priority]);
      const need = needs.get(key) ?? { service, priority, tokens: 0, atMs: now };
      need.tokens = computeTokens(need, now) + estimateHeldTokens(prompt);
      need.atMs = now;
      needs.delete(key);
      needs.set(key, need);
      const [oldest] = needs.keys();
      if (needs.size > MAX_NEEDS && oldest !== undefined) needs.delete(oldest);
    },
    reserveEngine: (request, engine, tokens) => {
      const now = readMonotonicMs();
      const current = byEngine.get(engine);
      const sinceMs = now - request.waitedMs;
      const isTaken =
        current !== undefined &&
        current.untilMs > now &&
        current.callId !== request.callId &&
        (current.priority < request.priority ||
          (current.priority === request.priority && current.sinceMs <= sinceMs));
      if (isTaken) return;
      releaseCall(request.callId);
      const { callId, priority } = request;
      byEngine.set(engine, { callId, priority, tokens, sinceMs, untilMs: now + RESERVATION_TTL_MS });
    },
    releaseCall,
    getReservedTokens: (request, engine, engineCount, capacityTokens) => {
      const now = readMonotonicMs();
      let expected = 0;
      for (const need of needs.values())
        if (need.service === request.service && need.priority < request.priority)
          expected += (computeTokens(need, now) / NEED_WINDOW_MS) * NEAR_TERM_MS;
      const reservation = byEngine.get(engine);
      const isBehind =
        reservation !== undefined &&
        reservation.untilMs > now &&
        reservation.callId !== request.callId &&
        (reservation.priority < request.priority ||
          (reservation.priority === request.priority && reservation.sinceMs < now - request.waitedMs));
      return (
        Math.min(expected / engineCount, capacityTokens * MAX_EXPECTED_SHARE) +
        (isBehind ? reservation.tokens : 0)
      );
    },
  };
}
