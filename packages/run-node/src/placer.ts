import type {
  EngineFailure,
  PieceRef,
  EnginePlacementReply,
  EnginePlacementRequest,
  PoolConfig,
  RunReport,
} from '@laburnumshift/types';

/** Placement as the request path of one node sees it. */
export interface Placer {
  /** Mesh address of the node that is first in rendezvous order for a cell. */
  readonly findHome: (pool: PoolConfig, cell: number) => string;
  readonly rankCells: (pool: PoolConfig, pieces: readonly PieceRef[]) => readonly number[];
  readonly place: (request: EnginePlacementRequest) => Promise<EnginePlacementReply>;
  readonly reportRun: (report: RunReport) => void;
  readonly reportFailure: (failure: EngineFailure) => void;
}
