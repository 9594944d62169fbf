import type { StoreState } from '@laburnumshift/types';
import type { StoreChangePlan } from './store-change-plan.js';
import { FILL_THRESHOLDS } from './fill-thresholds.js';
import type { PlannerState } from './planner-state.js';
import type { RankedPiece } from './ranked-piece.js';

/** Defaults of the options `minPrefetchHorizonMs` and `minPrefetchProbability`. */
const DEFAULT_MIN_PREFETCH_HORIZON_MS = 60_000;
const DEFAULT_MIN_PREFETCH_PROBABILITY = 0.15;

/**
 * Prefetch horizon as a share of the time since the last use, because the return after a long gap cannot be predicted
 * to the minute.
 */
const HORIZON_SHARE = 0.2;

/** Limit on the disk time of the prefetches of one call, seconds, so that imports from the disk are not delayed. */
const MAX_DISK_TIME_S = 1;

/**
 * Plans moves from disk to memory for pieces that are likely to be used soon, in order of probability and then of
 * position in the prompt. Plans none while transfers wait on the store's link.
 */
export function planPrefetch(
  state: PlannerState,
  { host, stat }: StoreState,
  ranked: readonly RankedPiece[],
  plan: StoreChangePlan,
  atMs: number,
): void {
  if (stat === undefined || stat.linkQueuedBytes > 0) return;
  const {
    minPrefetchHorizonMs = DEFAULT_MIN_PREFETCH_HORIZON_MS,
    minPrefetchProbability = DEFAULT_MIN_PREFETCH_PROBABILITY,
  } = state.options;
  const candidates = ranked
    .filter((entry) => entry.piece.store === host.name && entry.piece.tier === 'disk' && entry.density > 0)
    .filter((entry) => !plan.hasChange(entry))
    .flatMap((entry) => {
      const { use } = entry;
      if (use === undefined) return [];
      const horizonMs = Math.max(minPrefetchHorizonMs, HORIZON_SHARE * (atMs - use.lastUseMs));
      const probability = state.history.estimateReturnWithin(use, atMs, horizonMs);
      return probability < minPrefetchProbability ? [] : [{ entry, probability, index: use.index }];
    })
    .sort((a, b) => b.probability - a.probability || a.index - b.index);
  let remainingBytes = host.diskBytesPerSecond * MAX_DISK_TIME_S;
  for (const { entry } of candidates) {
    remainingBytes -= entry.piece.bytes;
    if (
      remainingBytes < 0 ||
      plan.isFilledBeyond(host.name, 'memory', FILL_THRESHOLDS.prefetch, entry.piece.bytes)
    )
      return;
    plan.movePiece(entry, 'memory');
  }
}
