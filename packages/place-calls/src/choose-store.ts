import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import type { StoreCandidate } from './store-candidate.js';

/** Share of a store's capacity that is filled; the rest is a reserve for saves that other hosts have just started. */
const MAX_FILL_SHARE = 0.95;

/**
 * Chooses the store that keeps a piece: of the stores with room, the first in rendezvous order, so that all hosts choose alike.
 * Returns `undefined` when no store has room.
 */
export function chooseStore(
  key: string,
  tokens: number,
  stores: readonly StoreCandidate[],
): StoreCandidate | undefined {
  const withRoom = stores.filter(
    (store) => store.usedTokens + tokens <= store.capacityTokens * MAX_FILL_SHARE,
  );
  return withRoom.reduce<StoreCandidate | undefined>(
    (best, store) =>
      best === undefined || computeRendezvousWeight(key, store.name) > computeRendezvousWeight(key, best.name)
        ? store
        : best,
    undefined,
  );
}
