import type {
  BackendServer,
  EnginePlacementReply,
  EnginePlacementRequest,
  PoolConfig,
} from '@laburnumshift/types';

/** Places requests on an entry node without the cell's home, while the home does not answer. */
export interface LocalPlacer {
  /**
   * Places a request on the least utilized server by this node's own run counts, without imports. Refuses with `no_engine`
   * when no server may take it.
   *
   * @param servers the servers of the request's cell
   */
  readonly place: (
    request: EnginePlacementRequest,
    pool: PoolConfig,
    servers: readonly BackendServer[],
  ) => EnginePlacementReply;
  /** Counts a run that this node dispatches, whether this placer or the home placed it. */
  readonly registerRun: (requestId: string, engine: string) => void;
  /** Removes a run that has ended from the counts. */
  readonly releaseRun: (requestId: string) => void;
  /** Excludes an engine for a delay that doubles with each consecutive failure, up to a limit. */
  readonly reportFailure: (engine: string) => void;
  /** Records the weight version in an engine's answer and ends the engine's exclusion. */
  readonly observeWeightVersion: (engine: string, weightVersion: string) => void;
  /** Sets the names of the servers that are leaving; they get no requests. */
  readonly setLeavingServers: (names: ReadonlySet<string>) => void;
}
