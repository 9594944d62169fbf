import type { StoreView, Tier } from '@laburnumshift/types';
import { FILL_LIMITS } from './fill-limits.js';
import type { PieceValue } from './piece-value.js';
import type { PlannerState } from './planner-state.js';

/** Default of `soonMs`. */
const SOON_MS = 300_000;

/** Chooses the tier for a piece by its expected gap; `undefined` when neither tier has room for a piece of this value. */
export function chooseTier(
  state: PlannerState,
  { host, stat }: StoreView,
  value: PieceValue,
  bytes: number,
): Tier | undefined {
  if (stat === undefined) return undefined;
  const hasRoom = (tier: Tier): boolean => {
    const capacity = tier === 'memory' ? stat.memoryBytes : stat.diskBytes;
    const used = tier === 'memory' ? stat.memoryUsed : stat.diskUsed;
    const after = used + state.pending.countTierBytes(host.name, tier) + bytes;
    if (after > capacity * FILL_LIMITS.full) return false;
    const floor = state.tierFloors.get(`${host.name}/${tier}`) ?? 0;
    return after <= capacity * FILL_LIMITS.pressure || value.density > floor;
  };
  const isSoon = value.gapMs <= (state.options.soonMs ?? SOON_MS);
  const order: readonly Tier[] = isSoon ? ['memory', 'disk'] : ['disk', 'memory'];
  return order.find(hasRoom);
}
