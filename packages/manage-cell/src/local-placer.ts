import type { BackendServer, PlaceReply, PlaceRequest, PoolConfig } from '@laburnumshift/types';

/** The decision of an entry node alone, while the cell's home is silent. */
export interface LocalPlacer {
  /**
   * Places on the least used of the servers by this node's own counts, without imports.
   *
   * @param servers the servers of the request's cell
   */
  readonly place: (request: PlaceRequest, pool: PoolConfig, servers: readonly BackendServer[]) => PlaceReply;
  /** Counts a run that this node dispatches, whoever placed it. */
  readonly registerRun: (requestId: string, engine: string) => void;
  /** Ends a run. */
  readonly releaseRun: (requestId: string) => void;
  /** Backs an engine off, twice as long with each failure in a row. */
  readonly reportFailure: (engine: string) => void;
  /** Records the weight version of an engine's answer, and that the engine works. */
  readonly observeVersion: (engine: string, weightVersion: string) => void;
  readonly setLeaving: (names: ReadonlySet<string>) => void;
}
