import type { CellHome, CellStatus } from '@laburnumshift/manage-cell';
import type { Config } from '@laburnumshift/types';

/** The cells that this node keeps open: those whose home it is, and those that a request sent to it. */
export interface CellHomes {
  /** Gets the home of a cell and creates it if it is not open. Returns `undefined` for a cell that is not configured. */
  readonly openCell: (pool: string, cell: number) => CellHome | undefined;
  /** Updates the open cells, closes those that are no longer configured, and opens those whose home this node is. */
  readonly applyConfig: (config: Config) => void;
  /** Replaces the names of the leaving backend servers in all open cells. */
  readonly setLeaving: (names: ReadonlySet<string>) => void;
  readonly listStatus: () => readonly CellStatus[];
  /** Closes all open cells. */
  readonly close: () => void;
}
