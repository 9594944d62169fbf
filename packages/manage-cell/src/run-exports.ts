import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { ExportPlan } from '@laburnumshift/types';
import { addLinkBytes } from './add-link-bytes.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';
import { estimateLink } from './estimate-link.js';
import { isUsable } from './is-usable.js';
import type { StoreRecord } from './store-record.js';

/** Exports that wait for one store; beyond it the least valuable are dropped. */
const MAX_WAITING = 512;

/** Queues exports and carries them out one at a time for each store, while its link is idle, the most valuable first. */
export function runExports(state: CellState, plans: readonly ExportPlan[]): void {
  for (const plan of plans) {
    const record = state.stores.get(plan.store);
    if (record === undefined || isWaiting(record, plan)) continue;
    const index = record.exports.findIndex((other) => other.value < plan.value);
    record.exports.splice(index < 0 ? record.exports.length : index, 0, plan);
    record.exports.splice(MAX_WAITING);
    if (!record.exporting) void drainExports(state, record);
  }
}

function isWaiting(record: StoreRecord, plan: ExportPlan): boolean {
  return record.exports.some((other) => other.chain === plan.chain && other.scope === plan.scope);
}

async function drainExports(state: CellState, record: StoreRecord): Promise<void> {
  record.exporting = true;
  const { signal } = record.stopper;
  for (let plan = record.exports[0]; plan !== undefined && !signal.aborted; plan = record.exports[0]) {
    const link = estimateLink(record, readMonotonicMs());
    if (link.queueMs > CELL_TIMES.idleLinkMs || !link.usable) {
      await sleep(CELL_TIMES.idleLinkMs, signal);
      if (record.failures > 0) record.exports.length = 0;
      continue;
    }
    record.exports.shift();
    await exportPiece(state, record, plan);
  }
  record.exporting = false;
}

async function exportPiece(state: CellState, record: StoreRecord, plan: ExportPlan): Promise<void> {
  const { directory, metrics } = state.options;
  const { scope, chain, tier, bytes } = plan;
  const store = record.host.name;
  const engine = state.engines.get(plan.engine);
  if (engine === undefined || !isUsable(engine, readMonotonicMs())) return;
  if (directory.findStored(scope, chain).some((piece) => piece.store === store)) return;
  addLinkBytes(record, bytes, readMonotonicMs());
  const result = await engine.client.exportPiece(scope, chain, record.host.url, tier, bytes);
  metrics?.addCount(result.ok ? 'cell_exports' : 'cell_exports_failed', 1);
  if (!result.ok) return;
  const piece = { ...result.value, scope, chain, store, tier, bytes };
  directory.recordStored(piece);
  record.exported.push(piece);
}
