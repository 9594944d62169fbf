import type {
  BackendServer,
  EngineFailure,
  EnginePlacementReply,
  EnginePlacementRequest,
  PoolConfig,
  RunReport,
} from '@laburnumshift/types';
import type { CellStatus } from './cell-status.js';

/** The home of a cell: the service that places requests on the cell's engines. */
export interface CellHome {
  /**
   * Places a request. Replies within the request's `waitMs`; after a `queued` reply the caller repeats the request with the
   * same request id. Never rejects.
   */
  readonly place: (request: EnginePlacementRequest) => Promise<EnginePlacementReply>;
  /** Takes the report of a run that ended: frees its slot, updates the estimates and schedules exports. */
  readonly reportRun: (report: RunReport) => void;
  /** Takes a failure that an entry node saw. Failures of an earlier process of the engine are ignored. */
  readonly reportFailure: (failure: EngineFailure) => void;
  /** Sets the names of the servers that the host list marks as leaving; they get no new requests. */
  readonly setLeavingServers: (names: ReadonlySet<string>) => void;
  readonly updatePool: (pool: PoolConfig, servers: readonly BackendServer[]) => void;
  readonly getStatus: () => CellStatus;
  /** Stops all tasks and replies `queued` to waiting requests, so that their callers ask the cell's next home. */
  readonly close: () => void;
}
