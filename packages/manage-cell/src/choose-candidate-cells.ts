import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import { computeCellWeight } from './compute-cell-weight.js';

/**
 * Chooses the cell for a prompt by its first piece, so that prompts with the same beginning share the caches of one cell.
 *
 * @param key chain hash of the first piece
 * @param count number of cells of the pool
 * @returns `first` is the preferred cell; `spill` is the cell to ask when it is full, `undefined` when there is only one
 */
export function chooseCandidateCells(
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
