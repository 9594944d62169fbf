import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import { computeCellWeight } from './compute-cell-weight.js';

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
  const base = computeRendezvousWeight(key, pool);
  let first = 0;
  let spill: number | undefined;
  let firstWeight = computeCellWeight(base, 0);
  let spillWeight = -1;
  for (let cell = 1; cell < count; cell += 1) {
    const weight = computeCellWeight(base, cell);
    if (weight > firstWeight) {
      [spill, spillWeight] = [first, firstWeight];
      [first, firstWeight] = [cell, weight];
    } else if (weight > spillWeight) [spill, spillWeight] = [cell, weight];
  }
  return { first, spill };
}
