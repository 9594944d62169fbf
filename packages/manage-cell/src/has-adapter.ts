import type { PlaceRequest } from '@laburnumshift/types';
import type { EngineRecord } from './engine-record.js';

/** Tells whether an engine has loaded the adapter that a request needs. */
export function hasAdapter(record: EngineRecord, request: PlaceRequest): boolean {
  return request.adapter === undefined || (record.load?.adapters.includes(request.adapter) ?? false);
}
