import type {
  EngineFailure,
  PieceRef,
  EnginePlacementReply,
  EnginePlacementRequest,
  PoolConfig,
  RunReport,
} from '@laburnumshift/types';

/** Obtains placements for an entry node and reports the results to the homes of the cells. */
export interface Placer {
  /**
   * Finds the mesh address of the node that is first in rendezvous order for a cell. If all servers of the cell are in one
   * failure domain, live nodes of that domain are preferred.
   */
  readonly findHome: (pool: PoolConfig, cell: number) => string;
  readonly rankCells: (pool: PoolConfig, pieces: readonly PieceRef[]) => readonly number[];
  readonly place: (request: EnginePlacementRequest) => Promise<EnginePlacementReply>;
  readonly reportRun: (report: RunReport) => void;
  readonly reportFailure: (failure: EngineFailure) => void;
}
