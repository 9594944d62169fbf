import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import { manageCell, type CellHome, type CellOptions } from '@laburnumshift/manage-cell';
import type { Config } from '@laburnumshift/types';
import type { CellHomes } from './cell-homes.js';
import { getCells } from './get-cells.js';

/** A home that nobody has asked for this long has moved to another node. */
const IDLE_MS = 60_000;
const SWEEP_MS = 5_000;

/** What the homes need from the node; the rest of the options follows from the configuration. */
type HomeOptions = Omit<CellOptions, 'pool' | 'cell' | 'servers' | 'directory' | 'planner'> & {
  readonly createDirectory: () => CellOptions['directory'];
  readonly createPlanner: (config: Config, pool: string) => CellOptions['planner'];
  /** True while this node is the first in rendezvous order for the cell. */
  readonly isHome: (pool: string, cell: number) => boolean;
};

/**
 * Keeps the cells whose home this node is. A cell is opened when membership or a request makes this node its home, and is
 * closed when it is idle and belongs to another node.
 */
export function createCellHomes(options: HomeOptions, logger: Logger): CellHomes {
  const homes = new Map<string, { readonly home: CellHome; pool: string; cell: number; askedAtMs: number }>();
  let config: Config | undefined;
  let leaving: ReadonlySet<string> = new Set();

  const openCell: CellHomes['openCell'] = (poolName, cell) => {
    const known = homes.get(`${poolName}/${String(cell)}`);
    if (known !== undefined) {
      known.askedAtMs = readMonotonicMs();
      return known.home;
    }
    const pool = config?.pools[poolName];
    const servers = pool?.kind === 'model' ? getCells(pool)[cell] : undefined;
    if (config === undefined || pool === undefined || servers === undefined) return undefined;
    const home = manageCell({
      ...options,
      pool,
      cell,
      servers,
      directory: options.createDirectory(),
      planner: options.createPlanner(config, pool.name),
    });
    home.setLeavingServers(leaving);
    homes.set(`${poolName}/${String(cell)}`, { home, pool: poolName, cell, askedAtMs: readMonotonicMs() });
    logger.info('opened a cell', { pool: poolName, cell });
    return home;
  };
  const closeCell = (key: string): void => {
    homes.get(key)?.home.close();
    homes.delete(key);
    logger.info('closed a cell', { cell: key });
  };
  const openOwnCells = (): void => {
    for (const pool of Object.values(config?.pools ?? {})) {
      if (pool.kind !== 'model') continue;
      const count = getCells(pool).length;
      for (let cell = 0; cell < count; cell += 1) {
        if (options.isHome(pool.name, cell)) openCell(pool.name, cell);
      }
    }
    for (const [key, { pool, cell, askedAtMs }] of homes) {
      if (!options.isHome(pool, cell) && readMonotonicMs() - askedAtMs > IDLE_MS) closeCell(key);
    }
  };
  const stop = runEvery(SWEEP_MS, openOwnCells, (error) => {
    logger.error('could not open the cells', { detail: String(error) });
  });

  return {
    openCell,
    applyConfig: (next) => {
      config = next;
      for (const [key, { home, pool: name, cell }] of homes) {
        const pool = next.pools[name];
        const servers = pool?.kind === 'model' ? getCells(pool)[cell] : undefined;
        if (pool === undefined || servers === undefined) closeCell(key);
        else home.updatePool(pool, servers);
      }
      openOwnCells();
    },
    setLeaving: (names) => {
      leaving = names;
      for (const { home } of homes.values()) home.setLeavingServers(names);
    },
    listStatus: () => [...homes.values()].map(({ home }) => home.getStatus()),
    close: () => {
      stop();
      for (const key of [...homes.keys()]) closeCell(key);
    },
  };
}
