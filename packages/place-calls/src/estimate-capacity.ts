import type { CapacityForecast } from './capacity-forecast.js';
import type { PlainCandidate } from './plain-candidate.js';

/** Assumed mean time of a call before any has ended, milliseconds: a usual call of a business application. */
const INITIAL_CALL_MS = 50;

/**
 * Estimates when servers whose slots and queues are full have capacity. Each completes a call whenever one of its slots gets free.
 *
 * @param meanMs mean time of the calls of the service at usual speed, milliseconds; `undefined` when unknown
 */
export function estimateCapacity(
  servers: readonly PlainCandidate[],
  meanMs: number = INITIAL_CALL_MS,
): CapacityForecast {
  const forecasts = servers.map(({ calls, slots, slowness = 1, queueLimit = 0 }) => {
    const perCallMs = (meanMs * slowness) / Math.max(1, slots);
    return { perCallMs, firstMs: perCallMs * Math.max(1, calls + 1 - slots - queueLimit) };
  });
  const callsPerMs = forecasts.reduce((sum, { perCallMs }) => sum + 1 / perCallMs, 0);
  return {
    firstMs: Math.min(...forecasts.map(({ firstMs }) => firstMs)),
    perCallMs: 1 / callsPerMs,
  };
}
