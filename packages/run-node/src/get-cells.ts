import { splitPoolIntoCells } from '@laburnumshift/manage-cell';
import type { BackendServer, PoolConfig } from '@laburnumshift/types';

const cellsByPool = new WeakMap<PoolConfig, readonly BackendServer[][]>();

/** Gets the cells of a pool. The result is cached for each pool object because every request needs it. */
export function getCells(pool: PoolConfig): readonly BackendServer[][] {
  const cells = cellsByPool.get(pool) ?? splitPoolIntoCells(pool.name, pool.servers);
  cellsByPool.set(pool, cells);
  return cells;
}
