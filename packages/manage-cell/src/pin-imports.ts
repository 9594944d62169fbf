import { readMonotonicMs, waitAtMost } from '@laburnumshift/clock';
import type { StoredPiece } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';

/**
 * Pins the pieces of a plan. Pieces that are gone are removed from the directory; a store that does not answer in time is
 * left out for a while.
 *
 * @returns the pinned pieces up to the first that could not be pinned, as the stores describe them now
 */
export async function pinImports(
  state: CellState,
  wanted: readonly StoredPiece[],
): Promise<readonly StoredPiece[]> {
  const pinned = await Promise.all(wanted.map((piece) => pinPiece(state, piece)));
  const missing = pinned.indexOf(undefined);
  const usable = missing < 0 ? pinned : pinned.slice(0, missing);
  for (const piece of missing < 0 ? [] : pinned.slice(missing)) {
    if (piece !== undefined) void state.stores.get(piece.store)?.client.unpinPiece(piece.scope, piece.chain);
  }
  return usable.filter((piece) => piece !== undefined);
}

async function pinPiece(state: CellState, piece: StoredPiece): Promise<StoredPiece | undefined> {
  const { store, scope, chain } = piece;
  const record = state.stores.get(store);
  if (record === undefined) return undefined;
  const result = await waitAtMost(
    record.client.pinPiece(scope, chain, CELL_TIMES.pinMs),
    CELL_TIMES.pinTimeoutMs,
  );
  if (result?.ok) return result.value;
  state.options.metrics?.addCount('cell_pins_failed', 1);
  if (result?.error.kind === 'rejected') state.options.directory.removeStored(store, scope, chain);
  else record.backoffUntilMs = readMonotonicMs() + CELL_TIMES.storeBackoffMs;
  return undefined;
}
