import { computeRoom } from '@laburnumshift/place-request';
import type { EngineState } from '@laburnumshift/place-request';
import type { PlaceRequest, PoolConfig } from '@laburnumshift/types';

/** Tells whether an engine may take a request now. */
export function hasRoom(engine: EngineState, request: PlaceRequest, pool: PoolConfig): boolean {
  return engine.running < computeRoom(engine.slots, pool.urgentSlots, request.priority);
}
