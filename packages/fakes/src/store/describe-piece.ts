import type { HeldPiece } from './held-piece.js';

/** Describes a piece as the store's answers do. */
export function describePiece(piece: HeldPiece): Readonly<Record<string, string | number>> {
  const { key, tier, generation, body, checksum, bytes, weightVersion } = piece;
  return { key, tier, generation, length: body.length, checksum, bytes, weight_version: weightVersion };
}
