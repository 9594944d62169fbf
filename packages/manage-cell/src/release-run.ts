import type { CellState } from './cell-state.js';
import type { EngineRecord } from './engine-record.js';
import type { RunningRequest } from './running-request.js';

/**
 * Removes a request from the engine that it was granted.
 *
 * @param engine releases the request only if it runs on this engine, because a late report of an earlier attempt must not end
 * the current one
 * @returns `undefined` when no such run is registered
 */
export function releaseRun(
  state: CellState,
  requestId: string,
  engine?: string,
): { readonly record: EngineRecord; readonly run: RunningRequest } | undefined {
  for (const record of state.engines.values()) {
    const run = record.running.get(requestId);
    if (run === undefined || (engine !== undefined && engine !== record.server.name)) continue;
    record.running.delete(requestId);
    return { record, run };
  }
  return undefined;
}
