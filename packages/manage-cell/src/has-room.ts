import type { EngineState } from '@laburnumshift/place-request';
import type { PlaceRequest, PoolConfig } from '@laburnumshift/types';

/** Requests that may wait on an engine beyond its slots, so that a short wait for cached pieces can win. */
const QUEUE_DEPTH = 2;

/** Tells whether an engine may take a request now. Only urgent requests may use the reserved slots. */
export function hasRoom(engine: EngineState, request: PlaceRequest, pool: PoolConfig): boolean {
  const reserved = request.priority === 'urgent' ? 0 : pool.urgentSlots;
  return engine.running < engine.slots + QUEUE_DEPTH - reserved;
}
