import type { EnginePlacementRequest } from '@laburnumshift/types';
import type { EngineRecord } from './engine-record.js';

/** Returns true when an engine has loaded the adapter that a request needs, or the request needs none. */
export function hasAdapter(record: EngineRecord, request: EnginePlacementRequest): boolean {
  return request.adapter === undefined || (record.load?.adapters.includes(request.adapter) ?? false);
}
