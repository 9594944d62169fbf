import type { Tier } from '@laburnumshift/types';

/** One tier of a store host as a source of pieces, with the load of its link. The tiers of a store share one link. */
export interface PieceSource {
  readonly store: string;
  readonly tier: Tier;
  /** Estimated milliseconds until a new transfer starts. */
  readonly queueMs: number;
  /** Rate at which pieces of this tier arrive over the link, less the older system's share. */
  readonly bytesPerSecond: number;
}
