import type { Tier } from '@laburnumshift/types';

/** One tier of a store host as a source of pieces. Tiers of the same store share its link. */
export interface LinkState {
  readonly store: string;
  readonly tier: Tier;
  /** Estimated milliseconds until a new transfer starts. */
  readonly queueMs: number;
  /** Rate of this tier over the link, without the older system's share. */
  readonly bytesPerSecond: number;
}
