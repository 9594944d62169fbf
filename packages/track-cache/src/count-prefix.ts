import type { PieceRef } from '@laburnumshift/types';
import type { EngineTable } from './engine-table.js';
import type { CachedPieceTable } from './cached-piece-table.js';

const HIGHEST_BIT_INDEX = 31;

/** Sets the same count for all engines whose bits are set in a word of a bit set. */
function recordCounts(
  counts: Map<string, number>,
  engines: EngineTable,
  bits: number,
  word: number,
  count: number,
): void {
  for (let remainingBits = bits; remainingBits !== 0; remainingBits &= remainingBits - 1) {
    const bit = HIGHEST_BIT_INDEX - Math.clz32(remainingBits & -remainingBits);
    counts.set(engines.getName(word * 32 + bit), count);
  }
}

/**
 * Counts the leading pieces that each engine has. Each piece takes two reads and a few bit operations for each word of 32 engines;
 * single engines are visited only at the piece where their prefix ends.
 *
 * @param trusted bit set of the engines whose assumed pieces count
 * @param current buffer for a bit set, which is overwritten
 * @returns counts by engine name; engines without the first piece are absent
 */
export function countPrefix(
  table: CachedPieceTable,
  engines: EngineTable,
  scope: string,
  pieces: readonly PieceRef[],
  trusted: Int32Array,
  current: Int32Array,
): Map<string, number> {
  const counts = new Map<string, number>();
  const pieceIds = table.findPieceIds(scope);
  if (pieceIds === undefined) return counts;
  const { wordsPerBitSet, confirmed, assumed } = table;
  current.fill(-1);
  for (let index = 0; index < pieces.length; index += 1) {
    const pieceId = pieceIds.get(pieces[index]?.chain ?? '');
    let remaining = 0;
    for (let word = 0; word < wordsPerBitSet; word += 1) {
      const before = current[word] ?? 0;
      if (before === 0) continue;
      const at = (pieceId ?? 0) * wordsPerBitSet + word;
      const present =
        pieceId === undefined ? 0 : (confirmed[at] ?? 0) | ((assumed[at] ?? 0) & (trusted[word] ?? 0));
      const after = before & present;
      if (index > 0) recordCounts(counts, engines, before & ~after, word, index);
      current[word] = after;
      remaining |= after;
    }
    if (remaining === 0) return counts;
    if (pieceId !== undefined) table.markUsed(pieceId);
  }
  for (let word = 0; word < wordsPerBitSet && pieces.length > 0; word += 1) {
    recordCounts(counts, engines, current[word] ?? 0, word, pieces.length);
  }
  return counts;
}
