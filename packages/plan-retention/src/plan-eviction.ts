import type { StoreState } from '@laburnumshift/types';
import type { StoreChangePlan } from './store-change-plan.js';
import { FILL_THRESHOLDS } from './fill-thresholds.js';
import type { PlannerState } from './planner-state.js';
import type { RankedPiece } from './ranked-piece.js';

/**
 * Deletes the piece of least density on the disk if it is below the density of `entry`. False when there is no such
 * piece.
 */
function replaceOnDisk(
  storePieces: readonly RankedPiece[],
  entry: RankedPiece,
  plan: StoreChangePlan,
): boolean {
  const leastValuable = storePieces.find(
    ({ piece }, at) => piece.tier === 'disk' && !plan.hasChange(storePieces[at] ?? entry),
  );
  if (leastValuable === undefined || leastValuable.density >= entry.density) return false;
  plan.deletePiece(leastValuable);
  return true;
}

/**
 * Plans evictions for a store above the eviction level: from disk by deletion, and from memory by moves to the disk, or
 * by deletion if the disk has no room. Records the minimum density for new pieces of each tier that is nearly full.
 */
export function planEviction(
  state: PlannerState,
  { host }: StoreState,
  ranked: readonly RankedPiece[],
  plan: StoreChangePlan,
): void {
  const storePieces = ranked.filter(({ piece }) => piece.store === host.name);
  for (const tier of ['disk', 'memory'] as const) {
    const tierKey = `${host.name}/${tier}`;
    state.minTierDensities.delete(tierKey);
    for (const entry of storePieces) {
      if (entry.piece.tier !== tier || plan.hasChange(entry)) continue;
      if (!plan.isFilledBeyond(host.name, tier, FILL_THRESHOLDS.eviction)) {
        if (plan.isFilledBeyond(host.name, tier, FILL_THRESHOLDS.prefetch))
          state.minTierDensities.set(tierKey, entry.density);
        break;
      }
      const isDiskFull = plan.isFilledBeyond(host.name, 'disk', FILL_THRESHOLDS.eviction, entry.piece.bytes);
      const canMoveToDisk =
        tier === 'memory' && entry.density > 0 && (!isDiskFull || replaceOnDisk(storePieces, entry, plan));
      if (canMoveToDisk) plan.movePiece(entry, 'disk');
      else plan.deletePiece(entry);
    }
  }
}
