import type { StoreChangePlan } from './store-change-plan.js';
import { FILL_THRESHOLDS } from './fill-thresholds.js';
import type { PlannerState } from './planner-state.js';
import type { RankedPiece } from './ranked-piece.js';

/**
 * Plans deletions of the pieces of least density of each account above the eviction level of its quota, and records the
 * minimum density of its next pieces.
 */
export function planQuotas(state: PlannerState, ranked: readonly RankedPiece[], plan: StoreChangePlan): void {
  const { getQuotaBytes } = state.options;
  state.accountBytes.clear();
  state.minAccountDensities.clear();
  for (const { piece, use } of ranked) {
    const account = use?.account ?? '';
    state.accountBytes.set(account, (state.accountBytes.get(account) ?? 0) + piece.bytes);
  }
  if (getQuotaBytes === undefined) return;
  for (const entry of ranked) {
    const account = entry.use?.account;
    if (account === undefined) continue;
    const maxBytes = getQuotaBytes(account) * FILL_THRESHOLDS.eviction;
    const storedBytes = state.accountBytes.get(account) ?? 0;
    if (storedBytes > maxBytes) {
      plan.deletePiece(entry);
      state.accountBytes.set(account, storedBytes - entry.piece.bytes);
    } else if (!state.minAccountDensities.has(account)) {
      state.minAccountDensities.set(account, entry.density);
    }
  }
}
