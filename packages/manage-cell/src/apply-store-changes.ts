import { readMonotonicMs } from '@laburnumshift/clock';
import type { StoreChange } from '@laburnumshift/types';
import { addLinkBytes } from './add-link-bytes.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMING } from './cell-timing.js';
import { estimateLink } from './estimate-link.js';
import { listStoreViews } from './list-store-views.js';

/**
 * Plans moves and deletions of stored pieces and carries them out one by one. A move to memory is skipped unless the store's
 * link is idle.
 *
 * @returns duration of planning, milliseconds
 */
export async function applyStoreChanges(state: CellState): Promise<number> {
  const { planner, directory } = state.options;
  const startMs = readMonotonicMs();
  const changes = planner.planChanges(listStoreViews(state), directory, startMs);
  const planMs = readMonotonicMs() - startMs;
  for (const change of changes) await applyStoreChange(state, change);
  return planMs;
}

async function applyStoreChange(state: CellState, change: StoreChange): Promise<void> {
  const { directory, metrics } = state.options;
  const { scope, chain, action } = change;
  const record = state.stores.get(change.store);
  if (record === undefined) return;
  const nowMs = readMonotonicMs();
  const link = estimateLink(record, nowMs);
  if (!link.usable) return;
  if (action === 'delete') {
    const result = await record.client.deletePiece(scope, chain);
    if (result.ok) directory.removeStoredPiece(change.store, scope, chain);
    return;
  }
  if (action === 'to-memory') {
    if (link.queueMs > CELL_TIMING.idleLinkQueueMs) return;
    addLinkBytes(record, state.pool.pieceBytes, nowMs);
  }
  const result = await record.client.movePiece(scope, chain, action === 'to-memory' ? 'memory' : 'disk');
  metrics?.addCount('cell_moves', 1);
  if (result.ok) directory.recordStoredPiece(result.value);
  else if (result.error.kind === 'rejected') directory.removeStoredPiece(change.store, scope, chain);
}
