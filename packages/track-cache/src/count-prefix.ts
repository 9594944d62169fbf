import type { PieceRef } from '@laburnumshift/types';
import type { EngineTable } from './engine-table.js';
import type { EntryTable } from './entry-table.js';

const LOWEST_BIT_OFFSET = 31;

/** Sets the same count for all engines in a word. */
function recordCounts(
  counts: Map<string, number>,
  engines: EngineTable,
  bits: number,
  word: number,
  count: number,
): void {
  for (let rest = bits; rest !== 0; rest &= rest - 1) {
    const bit = LOWEST_BIT_OFFSET - Math.clz32(rest & -rest);
    counts.set(engines.getName(word * 32 + bit), count);
  }
}

/**
 * Counts the leading pieces that each engine has. Per piece and word of 32 engines it takes two reads and a few bit operations;
 * engines are looked at one by one only where their prefix ends.
 *
 * @param trusted bit set of the engines whose assumed pieces count
 * @param current scratch bit set; overwritten
 */
export function countPrefix(
  entries: EntryTable,
  engines: EngineTable,
  scope: string,
  pieces: readonly PieceRef[],
  trusted: Int32Array,
  current: Int32Array,
): Map<string, number> {
  const counts = new Map<string, number>();
  const chains = entries.findScope(scope);
  if (chains === undefined) return counts;
  const { words, confirmed, assumed } = entries;
  current.fill(-1);
  for (let index = 0; index < pieces.length; index += 1) {
    const id = chains.get(pieces[index]?.chain ?? '');
    let left = 0;
    for (let word = 0; word < words; word += 1) {
      const before = current[word] ?? 0;
      if (before === 0) continue;
      const at = (id ?? 0) * words + word;
      const present =
        id === undefined ? 0 : (confirmed[at] ?? 0) | ((assumed[at] ?? 0) & (trusted[word] ?? 0));
      const after = before & present;
      if (index > 0) recordCounts(counts, engines, before & ~after, word, index);
      current[word] = after;
      left |= after;
    }
    if (left === 0) return counts;
    if (id !== undefined) entries.markUsed(id);
  }
  for (let word = 0; word < words && pieces.length > 0; word += 1) {
    recordCounts(counts, engines, current[word] ?? 0, word, pieces.length);
  }
  return counts;
}
