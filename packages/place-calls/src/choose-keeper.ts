import { computeWeight } from '@laburnumshift/rank-homes';
import type { KeeperCandidate } from './keeper-candidate.js';

/** Share of a store that is filled; the rest is room for saves that other hosts have just begun. */
const FILL_SHARE = 0.95;

/** Chooses the store that shall keep a piece: the first with room in an order that is the same on all hosts. */
export function chooseKeeper(
  key: string,
  tokens: number,
  stores: readonly KeeperCandidate[],
): KeeperCandidate | undefined {
  const withRoom = stores.filter((store) => store.usedTokens + tokens <= store.capacityTokens * FILL_SHARE);
  return withRoom.reduce<KeeperCandidate | undefined>(
    (best, store) =>
      best === undefined || computeWeight(key, store.name) > computeWeight(key, best.name) ? store : best,
    undefined,
  );
}
