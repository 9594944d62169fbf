import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { ExportPlan } from '@laburnumshift/types';
import { addLinkBytes } from './add-link-bytes.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMING } from './cell-timing.js';
import { estimateLink } from './estimate-link.js';
import { isUsable } from './is-usable.js';
import type { StoreRecord } from './store-record.js';

/** Largest number of exports waiting for one store; further ones with the least value are dropped. */
const MAX_PENDING_EXPORTS = 512;

/** Queues exports and runs them one at a time for each store while its link is idle, in descending order of value. */
export function scheduleExports(state: CellState, plans: readonly ExportPlan[]): void {
  for (const plan of plans) {
    const record = state.stores.get(plan.store);
    if (record === undefined || isPending(record, plan)) continue;
    const index = record.pendingExports.findIndex((other) => other.value < plan.value);
    record.pendingExports.splice(index < 0 ? record.pendingExports.length : index, 0, plan);
    record.pendingExports.splice(MAX_PENDING_EXPORTS);
    if (!record.isExporting) void drainExports(state, record);
  }
}

function isPending(record: StoreRecord, plan: ExportPlan): boolean {
  return record.pendingExports.some((other) => other.chain === plan.chain && other.scope === plan.scope);
}

async function drainExports(state: CellState, record: StoreRecord): Promise<void> {
  record.isExporting = true;
  const { signal } = record.abortController;
  for (
    let plan = record.pendingExports[0];
    plan !== undefined && !signal.aborted;
    plan = record.pendingExports[0]
  ) {
    const link = estimateLink(record, readMonotonicMs());
    if (link.queueMs > CELL_TIMING.idleLinkQueueMs || !link.usable) {
      await sleep(CELL_TIMING.idleLinkQueueMs, signal);
      if (record.failures > 0) record.pendingExports.length = 0;
      continue;
    }
    record.pendingExports.shift();
    await exportPiece(state, record, plan);
  }
  record.isExporting = false;
}

async function exportPiece(state: CellState, record: StoreRecord, plan: ExportPlan): Promise<void> {
  const { directory, metrics } = state.options;
  const { scope, chain, tier, bytes } = plan;
  const store = record.host.name;
  const engine = state.engines.get(plan.engine);
  if (engine === undefined || !isUsable(engine, readMonotonicMs())) return;
  if (directory.findStoredCopies(scope, chain).some((piece) => piece.store === store)) return;
  addLinkBytes(record, bytes, readMonotonicMs());
  const result = await engine.client.exportPiece(scope, chain, record.host.url, tier, bytes);
  metrics?.addCount(result.ok ? 'cell_exports' : 'cell_exports_failed', 1);
  if (!result.ok) return;
  const piece = { ...result.value, scope, chain, store, tier, bytes };
  directory.recordStoredPiece(piece);
  record.exportedSinceList.push(piece);
}
