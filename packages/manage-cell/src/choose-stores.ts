import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import type { PoolConfig, StoreHost } from '@laburnumshift/types';
import { MAX_ENGINES_PER_CELL } from './max-engines-per-cell.js';

/**
 * Least number of stores of a cell, so that one may fail. Not every cell gets all stores: a home reads the statistics of its
 * stores twice a second and lists their pieces every 30 s, and with all 71 stores of a large pool this took 2.5% of a core
 * and more pieces than the directory holds.
 */
const MIN_CELL_STORES = 2;

/**
 * Chooses the stores of a cell: all stores when it is the pool's only cell, otherwise an equal share, at least two, chosen by
 * rendezvous hashing.
 */
export function chooseStores(pool: PoolConfig, cell: number): readonly StoreHost[] {
  const cells = Math.max(1, Math.ceil(pool.servers.length / MAX_ENGINES_PER_CELL));
  const count = Math.max(MIN_CELL_STORES, Math.ceil(pool.stores.length / cells));
  if (pool.stores.length <= count) return pool.stores;
  const key = `stores/${pool.name}/${String(cell)}`;
  return pool.stores
    .map((store) => ({ store, weight: computeRendezvousWeight(key, store.name) }))
    .sort((a, b) => b.weight - a.weight || (a.store.name < b.store.name ? -1 : 1))
    .slice(0, count)
    .map(({ store }) => store);
}
