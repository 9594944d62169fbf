import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import type { Logger } from '@laburnumshift/logger';
import { manageCell, type CellHome, type CellOptions } from '@laburnumshift/manage-cell';
import type { Config } from '@laburnumshift/types';
import type { CellHomes } from './cell-homes.js';
import { getCells } from './get-cells.js';

/** Time without a request after which a cell that belongs to another node is closed. */
const IDLE_MS = 60_000;
/** Interval at which cells are opened and idle cells are closed. */
const SWEEP_MS = 5_000;

/** The options of a cell that the node supplies. The other options come from the configuration. */
type HomeOptions = Omit<CellOptions, 'pool' | 'cell' | 'servers' | 'directory' | 'planner'> & {
  readonly createDirectory: () => CellOptions['directory'];
  readonly createPlanner: (config: Config, pool: string) => CellOptions['planner'];
  /** Returns true while this node is first in rendezvous order for the cell. */
  readonly isHome: (pool: string, cell: number) => boolean;
};

/**
 * Creates the table of cells that this node keeps open. A cell is opened when this node is first in its rendezvous order, or
 * when a request names it. It is closed when it belongs to another node and no request has named it for 60 s.
 */
export function createCellHomes(options: HomeOptions, logger: Logger): CellHomes {
  const homes = new Map<string, { readonly home: CellHome; pool: string; cell: number; askedAtMs: number }>();
  let config: Config | undefined;
  let leaving: ReadonlySet<string> = new Set();

  const openCell: CellHomes['openCell'] = (poolName, cell) => {
    const existing = homes.get(`${poolName}/${String(cell)}`);
    if (existing !== undefined) {
      existing.askedAtMs = readMonotonicMs();
      return existing.home;
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
  const updateOpenCells = (): void => {
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
  const stop = runEvery(SWEEP_MS, updateOpenCells, (error) => {
    logger.error('failed to open or close cells', { detail: String(error) });
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
      updateOpenCells();
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
