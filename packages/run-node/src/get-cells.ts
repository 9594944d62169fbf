import { splitPoolIntoCells } from '@laburnumshift/manage-cell';
import type { BackendServer, PoolConfig } from '@laburnumshift/types';

const known = new WeakMap<PoolConfig, readonly BackendServer[][]>();

/** Gets the cells of a pool. The split is computed once for each published pool, since requests ask for it. */
export function getCells(pool: PoolConfig): readonly BackendServer[][] {
  const cells = known.get(pool) ?? splitPoolIntoCells(pool.name, pool.servers);
  known.set(pool, cells);
  return cells;
}
