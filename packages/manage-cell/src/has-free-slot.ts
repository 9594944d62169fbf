import { computeInFlightLimit } from '@laburnumshift/place-request';
import type { EngineState } from '@laburnumshift/place-request';
import type { EnginePlacementRequest, PoolConfig } from '@laburnumshift/types';

/** Returns true when an engine has a free slot for a request of this priority. Some slots are reserved for urgent requests. */
export function hasFreeSlot(engine: EngineState, request: EnginePlacementRequest, pool: PoolConfig): boolean {
  return engine.running < computeInFlightLimit(engine.slots, pool.urgentSlots, request.priority);
}
