import type { CacheDirectory, ExportPlan, RunReport, StoreState } from '@laburnumshift/types';
import { chooseStore } from './choose-store.js';
import { chooseTier } from './choose-tier.js';
import { computeLinkRate } from './compute-link-rate.js';
import { computePieceBytes } from './compute-piece-bytes.js';
import { computePieceValue } from './compute-piece-value.js';
import { FILL_THRESHOLDS } from './fill-thresholds.js';
import type { PlannerState } from './planner-state.js';

/**
 * Default of the option `maxExportQueueMs`. A long queue delays no import, because exports yield to imports. With 1,000 ms
 * only about the first 18 pieces of a prompt were exported. Engines hold pieces for longer than this.
 */
const DEFAULT_MAX_EXPORT_QUEUE_MS = 30_000;

/** True when the quota of the account allows one more piece of this size and density. */
function hasQuota(state: PlannerState, account: string, bytes: number, density: number): boolean {
  const quota = state.options.getQuotaBytes?.(account) ?? Number.POSITIVE_INFINITY;
  const storedBytes = state.accountBytes.get(account) ?? 0;
  const total = storedBytes + state.pendingExports.countAccountBytes(account) + bytes;
  if (total > quota) return false;
  return total <= quota * FILL_THRESHOLDS.eviction || density > (state.minAccountDensities.get(account) ?? 0);
}

/**
 * Plans the exports after a run, in prompt order. The plan ends at the first piece that is not worth its transfer or
 * does not fit, because later pieces cannot be used without it.
 */
export function planExports(
  state: PlannerState,
  report: RunReport,
  stores: readonly StoreState[],
  directory: CacheDirectory,
  atMs: number,
): ExportPlan[] {
  const { options, history, pendingExports } = state;
  const store = chooseStore(report, stores, directory);
  if (store?.stat === undefined) return [];
  pendingExports.expireExports(directory, atMs);
  const liveStores = new Set(stores.filter((view) => view.alive).map((view) => view.host.name));
  const { perMebibyteMoved } = options.getWeights(report.service);
  const rate = computeLinkRate(store);
  const maxQueuedBytes = ((options.maxExportQueueMs ?? DEFAULT_MAX_EXPORT_QUEUE_MS) * rate) / 1000;
  let queuedBytes = store.stat.linkQueuedBytes;
  const plans: ExportPlan[] = [];
  for (const { chain, tokens } of report.pieces) {
    const key = `${report.cacheScope}:${chain}`;
    const stored = directory.findStoredCopies(report.cacheScope, chain);
    if (pendingExports.hasExport(key) || stored.some((piece) => liveStores.has(piece.store))) continue;
    const use = history.findPiece(key);
    if (use === undefined) break;
    const value = computePieceValue({ options, history, store, atMs }, use);
    const bytes = computePieceBytes(options, tokens);
    if (value.savingPerMebibyte <= perMebibyteMoved || queuedBytes + bytes > maxQueuedBytes) break;
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
      value: value.savingPerMebibyte,
    };
    pendingExports.addExport(plan, report.account, atMs);
    plans.push(plan);
    queuedBytes += bytes;
  }
  return plans;
}
