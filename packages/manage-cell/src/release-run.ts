import type { CellState } from './cell-state.js';
import type { EngineRecord } from './engine-record.js';
import type { RunningRequest } from './running-request.js';

/**
 * Takes a request off its engine.
 *
 * @param engine only when it runs there; a late report of an earlier attempt must not end the present one
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
