import type { StoreView } from '@laburnumshift/types';
import type { ChangeDraft } from './change-draft.js';
import { FILL_LIMITS } from './fill-limits.js';
import type { PlannerState } from './planner-state.js';
import type { RankedPiece } from './ranked-piece.js';

/** Defaults of `prefetchMs` and `prefetchChance`. */
const PREFETCH_MS = 60_000;
const PREFETCH_CHANCE = 0.15;

/** For long gaps prefetch looks ahead by this share of the age, because such returns cannot be foreseen to the minute. */
const AHEAD_SHARE = 0.2;

/** Prefetches of one call keep the disk busy for at most this long, so that imports from it do not wait. */
const DISK_BUSY_S = 1;

/** Moves pieces that are likely to be used soon from disk to memory, first pieces first, while nothing waits on the link. */
export function planPrefetch(
  state: PlannerState,
  { host, stat }: StoreView,
  ranked: readonly RankedPiece[],
  draft: ChangeDraft,
  atMs: number,
): void {
  if (stat === undefined || stat.linkQueuedBytes > 0) return;
  const { prefetchMs = PREFETCH_MS, prefetchChance = PREFETCH_CHANCE } = state.options;
  const likely = ranked
    .filter((entry) => entry.piece.store === host.name && entry.piece.tier === 'disk' && entry.density > 0)
    .filter((entry) => !draft.hasChange(entry))
    .flatMap((entry) => {
      const { use } = entry;
      if (use === undefined) return [];
      const aheadMs = Math.max(prefetchMs, AHEAD_SHARE * (atMs - use.lastUseMs));
      const chance = state.history.estimateWithin(use, atMs, aheadMs);
      return chance < prefetchChance ? [] : [{ entry, chance, index: use.index }];
    })
    .sort((a, b) => b.chance - a.chance || a.index - b.index);
  let budget = host.diskBytesPerSecond * DISK_BUSY_S;
  for (const { entry } of likely) {
    budget -= entry.piece.bytes;
    if (budget < 0 || draft.isBeyond(host.name, 'memory', FILL_LIMITS.prefetch, entry.piece.bytes)) return;
    draft.movePiece(entry, 'memory');
  }
}
