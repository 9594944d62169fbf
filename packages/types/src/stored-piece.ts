import type { Tier } from './tier.js';

/** A cache piece that a store holds. */
export interface StoredPiece {
  readonly scope: string;
  readonly chain: string;
  readonly store: string;
  readonly tier: Tier;
  readonly generation: number;
  readonly length: number;
  readonly checksum: string;
  readonly bytes: number;
}
