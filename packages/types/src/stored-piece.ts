import type { Tier } from './tier.js';

/** A piece that is present in a store. */
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
