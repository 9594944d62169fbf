import type { Logger } from '@laburnumshift/logger';
import type { PlacementPolicy } from '@laburnumshift/place-request';
import type {
  BackendServer,
  CacheDirectory,
  EngineClient,
  PoolConfig,
  RetentionPlanner,
  StoreClient,
  StoreHost,
} from '@laburnumshift/types';
import type { CellMetrics } from './cell-metrics.js';

/** Options and dependencies of the home of a cell. */
export interface CellOptions {
  readonly pool: PoolConfig;
  /** Index of the cell in its pool, from 0. */
  readonly cell: number;
  /** The servers of this cell, at most 24. */
  readonly servers: readonly BackendServer[];
  readonly createEngineClient: (server: BackendServer) => EngineClient;
  readonly createStoreClient: (store: StoreHost) => StoreClient;
  readonly directory: CacheDirectory;
  readonly planner: RetentionPlanner;
  /** Placement policy; `placeRequest` by default. Measurements pass simpler policies for comparison. */
  readonly policy?: PlacementPolicy | undefined;
  /** Returns true while requests with this fingerprint are suspected of crashing engines. */
  readonly isSuspect: (fingerprint: string) => boolean;
  /** Called once for each engine crash during which requests were in flight, with their distinct fingerprints. */
  readonly onEngineCrash: (fingerprints: readonly string[], engine: string) => void;
  readonly logger: Logger;
  readonly metrics?: CellMetrics | undefined;
}
