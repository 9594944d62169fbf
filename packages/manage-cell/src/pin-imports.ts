import { readMonotonicMs, waitAtMost } from '@laburnumshift/clock';
import type { PeerError, Result, StoredPiece } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';

/**
 * Pins the pieces of a plan. Pieces that are gone are removed from the directory; a store that answers none of the calls in
 * time is left out for a while.
 *
 * @returns the pinned pieces up to the first that could not be pinned, as the stores describe them now
 */
export async function pinImports(
  state: CellState,
  wanted: readonly StoredPiece[],
  ttlMs: number,
): Promise<readonly StoredPiece[]> {
  const answers = await Promise.all(wanted.map((piece) => pinPiece(state, piece, ttlMs)));
  for (const store of new Set(wanted.map((piece) => piece.store))) {
    const isSilent = wanted.every((piece, index) => piece.store !== store || !isAnswered(answers[index]));
    const record = state.stores.get(store);
    if (isSilent && record !== undefined)
      record.backoffUntilMs = readMonotonicMs() + CELL_TIMES.storeBackoffMs;
  }
  const pinned = answers.map((answer) => (answer?.ok === true ? answer.value : undefined));
  const missing = pinned.indexOf(undefined);
  if (missing < 0) return pinned.filter((piece) => piece !== undefined);
  for (const piece of pinned.slice(missing)) {
    if (piece !== undefined) void state.stores.get(piece.store)?.client.unpinPiece(piece.scope, piece.chain);
  }
  return pinned.slice(0, missing).filter((piece) => piece !== undefined);
}

function isAnswered(answer: Result<StoredPiece, PeerError> | undefined): boolean {
  return answer !== undefined && (answer.ok || answer.error.kind === 'rejected');
}

async function pinPiece(
  state: CellState,
  piece: StoredPiece,
  ttlMs: number,
): Promise<Result<StoredPiece, PeerError> | undefined> {
  const { store, scope, chain } = piece;
  const record = state.stores.get(store);
  if (record === undefined) return undefined;
  const answer = await waitAtMost(record.client.pinPiece(scope, chain, ttlMs), CELL_TIMES.pinTimeoutMs);
  if (answer?.ok === true) return answer;
  state.options.metrics?.addCount('cell_pins_failed', 1);
  if (answer?.error.kind === 'rejected') state.options.directory.removeStored(store, scope, chain);
  return answer;
}
