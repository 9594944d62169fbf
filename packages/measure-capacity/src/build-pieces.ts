import { createHash } from 'node:crypto';
import type { PieceRef } from '@laburnumshift/types';

/** Builds the pieces of a prompt; chains have the length that `hash-pieces` gives them. */
export function buildPieces(prompt: string, count: number): PieceRef[] {
  return Array.from({ length: count }, (_, i) => ({
    chain: createHash('sha256')
      .update(`${prompt}/${String(i)}`)
      .digest('hex')
      .slice(0, 32),
    tokens: 2000,
  }));
}
