import type { StoreState, Tier } from '@laburnumshift/types';
import { FILL_THRESHOLDS } from './fill-thresholds.js';
import type { PieceValue } from './piece-value.js';
import type { PlannerState } from './planner-state.js';

/** Default of the option `maxMemoryGapMs`. */
const DEFAULT_MAX_MEMORY_GAP_MS = 300_000;

/**
 * Chooses the tier for a piece: memory for a short expected gap, else disk, or the other one if the first has no room.
 * `undefined` when neither tier accepts a piece of this value.
 */
export function chooseTier(
  state: PlannerState,
  { host, stat }: StoreState,
  value: PieceValue,
  bytes: number,
): Tier | undefined {
  if (stat === undefined) return undefined;
  const hasRoom = (tier: Tier): boolean => {
    const capacity = tier === 'memory' ? stat.memoryBytes : stat.diskBytes;
    const used = tier === 'memory' ? stat.memoryUsed : stat.diskUsed;
    const after = used + state.pendingExports.countTierBytes(host.name, tier) + bytes;
    if (after > capacity * FILL_THRESHOLDS.full) return false;
    const minDensity = state.minTierDensities.get(`${host.name}/${tier}`) ?? 0;
    return after <= capacity * FILL_THRESHOLDS.eviction || value.density > minDensity;
  };
  const isSoon = value.gapMs <= (state.options.maxMemoryGapMs ?? DEFAULT_MAX_MEMORY_GAP_MS);
  const preferredTiers: readonly Tier[] = isSoon ? ['memory', 'disk'] : ['disk', 'memory'];
  return preferredTiers.find(hasRoom);
}
