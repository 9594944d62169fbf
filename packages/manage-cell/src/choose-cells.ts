import { computeWeight } from '@laburnumshift/rank-homes';

/**
 * Chooses the cell for a prompt by its first piece, so that prompts with the same beginning meet the same caches.
 *
 * @param key chain of the first piece
 * @returns the cell, and the one to ask when it is full; none when there is only one cell
 */
export function chooseCells(
  pool: string,
  key: string,
  count: number,
): { readonly first: number; readonly spill: number | undefined } {
  const ranked = Array.from({ length: count }, (_, index) => ({
    index,
    weight: computeWeight(key, `${pool}/${String(index)}`),
  })).sort((a, b) => b.weight - a.weight);
  return { first: ranked[0]?.index ?? 0, spill: ranked[1]?.index };
}
