import type {
  BackendServer,
  EngineFailure,
  PlaceReply,
  PlaceRequest,
  PoolConfig,
  RunReport,
} from '@laburnumshift/types';
import type { CellStatus } from './cell-status.js';

/** The home of one cell. */
export interface CellHome {
  /** Answers within `waitMs`; after `queued` ask again with the same request id. Never rejects. */
  readonly place: (request: PlaceRequest) => Promise<PlaceReply>;
  readonly reportRun: (report: RunReport) => void;
  readonly reportFailure: (failure: EngineFailure) => void;
  /** Sets the servers that the host list calls leaving. */
  readonly setLeaving: (names: ReadonlySet<string>) => void;
  readonly updatePool: (pool: PoolConfig, servers: readonly BackendServer[]) => void;
  readonly getStatus: () => CellStatus;
  /** Stops all tasks and answers waiting requests with `queued`, so that they ask the next home. */
  readonly close: () => void;
}
