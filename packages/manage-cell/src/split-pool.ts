import { computeWeight } from '@laburnumshift/rank-homes';
import type { BackendServer } from '@laburnumshift/types';
import { MAX_CELL_ENGINES } from './max-cell-engines.js';

/**
 * Splits a pool's servers into cells of at most 24. Each server goes to its first cell by rendezvous hashing that has room,
 * so a server that comes or goes moves few others as long as the number of cells stays.
 */
export function splitPool(pool: string, servers: readonly BackendServer[]): BackendServer[][] {
  const count = Math.max(1, Math.ceil(servers.length / MAX_CELL_ENGINES));
  const cells = Array.from({ length: count }, (): BackendServer[] => []);
  const order = [...servers].sort(
    (a, b) => computeWeight(pool, a.name) - computeWeight(pool, b.name) || (a.name < b.name ? -1 : 1),
  );
  for (const server of order) {
    const ranked = cells
      .map((cell, index) => ({ cell, weight: computeWeight(`${pool}/${String(index)}`, server.name) }))
      .sort((a, b) => b.weight - a.weight);
    ranked.find(({ cell }) => cell.length < MAX_CELL_ENGINES)?.cell.push(server);
  }
  return cells;
}
