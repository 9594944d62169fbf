import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import type { BackendServer } from '@laburnumshift/types';
import { computeCellWeight } from './compute-cell-weight.js';
import { MAX_ENGINES_PER_CELL } from './max-engines-per-cell.js';

/**
 * Splits a pool's servers into cells of at most 24 servers. Each server is assigned to its highest-ranked cell by rendezvous
 * hashing that is not full, so adding or removing a server moves few others while the number of cells stays the same.
 */
export function splitPoolIntoCells(pool: string, servers: readonly BackendServer[]): BackendServer[][] {
  const count = Math.max(1, Math.ceil(servers.length / MAX_ENGINES_PER_CELL));
  const cells = Array.from({ length: count }, (): BackendServer[] => []);
  const order = servers
    .map((server) => ({ server, base: computeRendezvousWeight(pool, server.name) }))
    .sort((a, b) => a.base - b.base || (a.server.name < b.server.name ? -1 : 1));
  for (const { server, base } of order) {
    let chosen: BackendServer[] | undefined;
    let highest = -1;
    for (const [index, cell] of cells.entries()) {
      const weight = cell.length < MAX_ENGINES_PER_CELL ? computeCellWeight(base, index) : -1;
      if (weight > highest) [chosen, highest] = [cell, weight];
    }
    chosen?.push(server);
  }
  return cells;
}
