import type { Tier } from '@laburnumshift/types';

/** A piece inside the fake store. */
export interface HeldPiece {
  readonly key: string;
  readonly tier: Tier;
  readonly generation: number;
  readonly body: Buffer;
  readonly checksum: string;
  /** Modelled size. */
  readonly bytes: number;
  readonly weightVersion: string;
}
