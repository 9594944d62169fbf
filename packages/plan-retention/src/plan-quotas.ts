import type { ChangeDraft } from './change-draft.js';
import { FILL_LIMITS } from './fill-limits.js';
import type { PlannerState } from './planner-state.js';
import type { RankedPiece } from './ranked-piece.js';

/** Brings each account below its quota by deleting its pieces of least value, and notes what its next pieces must be worth. */
export function planQuotas(state: PlannerState, ranked: readonly RankedPiece[], draft: ChangeDraft): void {
  const { getQuotaBytes } = state.options;
  state.accountBytes.clear();
  state.accountFloors.clear();
  for (const { piece, use } of ranked) {
    const account = use?.account ?? '';
    state.accountBytes.set(account, (state.accountBytes.get(account) ?? 0) + piece.bytes);
  }
  if (getQuotaBytes === undefined) return;
  for (const entry of ranked) {
    const account = entry.use?.account;
    if (account === undefined) continue;
    const limit = getQuotaBytes(account) * FILL_LIMITS.pressure;
    const kept = state.accountBytes.get(account) ?? 0;
    if (kept > limit) {
      draft.deletePiece(entry);
      state.accountBytes.set(account, kept - entry.piece.bytes);
    } else if (!state.accountFloors.has(account)) {
      state.accountFloors.set(account, entry.density);
    }
  }
}
