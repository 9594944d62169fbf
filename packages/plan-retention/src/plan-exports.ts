import type { CacheDirectory, ExportPlan, RunReport, StoreView } from '@laburnumshift/types';
import { chooseStore } from './choose-store.js';
import { chooseTier } from './choose-tier.js';
import { computeLinkRate } from './compute-link-rate.js';
import { computePieceBytes } from './compute-piece-bytes.js';
import { computePieceValue } from './compute-piece-value.js';
import { FILL_LIMITS } from './fill-limits.js';
import type { PlannerState } from './planner-state.js';

/**
 * Default of `exportQueueMs`. Exports yield to imports, so a long queue delays nobody, while 1,000 ms cut every prompt off after some
 * 18 pieces. Engines hold pieces for longer than this.
 */
const EXPORT_QUEUE_MS = 30_000;

/** True when the account may keep a further piece of this density. */
function hasQuota(state: PlannerState, account: string, bytes: number, density: number): boolean {
  const quota = state.options.getQuotaBytes?.(account) ?? Number.POSITIVE_INFINITY;
  const kept = state.accountBytes.get(account) ?? 0;
  const after = kept + state.pending.countAccountBytes(account) + bytes;
  if (after > quota) return false;
  return after <= quota * FILL_LIMITS.pressure || density > (state.accountFloors.get(account) ?? 0);
}

/**
 * Plans the exports after a run, in prompt order. The first piece that is not worth its export or finds no room ends the plan,
 * because later pieces are useless without it.
 */
export function planExports(
  state: PlannerState,
  report: RunReport,
  stores: readonly StoreView[],
  directory: CacheDirectory,
  atMs: number,
): ExportPlan[] {
  const { options, history, pending } = state;
  const store = chooseStore(report, stores, directory);
  if (store?.stat === undefined) return [];
  pending.expireExports(directory, atMs);
  const living = new Set(stores.filter((view) => view.alive).map((view) => view.host.name));
  const { perMebibyteMoved } = options.getWeights(report.service);
  const rate = computeLinkRate(store);
  const maxQueue = ((options.exportQueueMs ?? EXPORT_QUEUE_MS) * rate) / 1000;
  let queued = store.stat.linkQueuedBytes;
  const plans: ExportPlan[] = [];
  for (const { chain, tokens } of report.pieces) {
    const key = `${report.cacheScope}:${chain}`;
    const stored = directory.findStored(report.cacheScope, chain);
    if (pending.hasExport(key) || stored.some((piece) => living.has(piece.store))) continue;
    const use = history.findPiece(key);
    if (use === undefined) break;
    const value = computePieceValue({ options, history, store, atMs }, use);
    const bytes = computePieceBytes(options, tokens);
    if (value.perMebibyte <= perMebibyteMoved || queued + bytes > maxQueue) break;
    if (!hasQuota(state, report.account, bytes, value.density)) break;
    const tier = chooseTier(state, store, value, bytes);
    if (tier === undefined) break;
    const plan: ExportPlan = {
      engine: report.engine,
      store: store.host.name,
      tier,
      scope: report.cacheScope,
      chain,
      bytes,
      value: value.perMebibyte,
    };
    pending.addExport(plan, report.account, atMs);
    plans.push(plan);
    queued += bytes;
  }
  return plans;
}
