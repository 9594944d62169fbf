import { readMonotonicMs } from '@laburnumshift/clock';
import type { CellState } from './cell-state.js';
import type { EngineRecord } from './engine-record.js';
import type { RunningRequest } from './running-request.js';

/**
 * Takes a request off its engine and releases its pins.
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
    const held = run.pinnedUntilMs > readMonotonicMs() ? run.pins : [];
    for (const pin of held) void state.stores.get(pin.store)?.client.unpinPiece(pin.scope, pin.chain);
    return { record, run };
  }
  return undefined;
}
