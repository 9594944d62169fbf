import type { CellHome, CellStatus } from '@laburnumshift/manage-cell';
import type { Config } from '@laburnumshift/types';

/** The cells whose home this node is, or was asked to be. */
export interface CellHomes {
  /** Finds the home of a cell, and starts it when this node did not have it yet; `undefined` for an unknown cell. */
  readonly openCell: (pool: string, cell: number) => CellHome | undefined;
  readonly applyConfig: (config: Config) => void;
  readonly setLeaving: (names: ReadonlySet<string>) => void;
  readonly listStatus: () => readonly CellStatus[];
  readonly close: () => void;
}
