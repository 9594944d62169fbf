import type { StoreView } from '@laburnumshift/types';
import type { ChangeDraft } from './change-draft.js';
import { FILL_LIMITS } from './fill-limits.js';
import type { PlannerState } from './planner-state.js';
import type { RankedPiece } from './ranked-piece.js';

/** Makes room on the disk for a piece by deleting one that is worth less; false when there is none. */
function replaceOnDisk(own: readonly RankedPiece[], entry: RankedPiece, draft: ChangeDraft): boolean {
  const other = own.find(({ piece }, at) => piece.tier === 'disk' && !draft.hasChange(own[at] ?? entry));
  if (other === undefined || other.density >= entry.density) return false;
  draft.deletePiece(other);
  return true;
}

/** Makes room in the tiers of a store: the disk gives up pieces of least value, and memory passes its own on to the disk. */
export function planPressure(
  state: PlannerState,
  { host }: StoreView,
  ranked: readonly RankedPiece[],
  draft: ChangeDraft,
): void {
  const own = ranked.filter(({ piece }) => piece.store === host.name);
  for (const tier of ['disk', 'memory'] as const) {
    const place = `${host.name}/${tier}`;
    state.tierFloors.delete(place);
    for (const entry of own) {
      if (entry.piece.tier !== tier || draft.hasChange(entry)) continue;
      if (!draft.isBeyond(host.name, tier, FILL_LIMITS.pressure)) {
        if (draft.isBeyond(host.name, tier, FILL_LIMITS.prefetch)) state.tierFloors.set(place, entry.density);
        break;
      }
      const diskFull = draft.isBeyond(host.name, 'disk', FILL_LIMITS.pressure, entry.piece.bytes);
      const keeps = tier === 'memory' && entry.density > 0 && (!diskFull || replaceOnDisk(own, entry, draft));
      if (keeps) draft.movePiece(entry, 'disk');
      else draft.deletePiece(entry);
    }
  }
}
