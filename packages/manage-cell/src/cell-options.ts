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

/** What the home of a cell needs. */
export interface CellOptions {
  readonly pool: PoolConfig;
  readonly cell: number;
  /** The servers of this cell, at most 24. */
  readonly servers: readonly BackendServer[];
  readonly createEngine: (server: BackendServer) => EngineClient;
  readonly createStore: (store: StoreHost) => StoreClient;
  readonly directory: CacheDirectory;
  readonly planner: RetentionPlanner;
  /** `placeRequest` by default; a baseline for comparison. */
  readonly policy?: PlacementPolicy | undefined;
  readonly isSuspect: (fingerprint: string) => boolean;
  /** Called once for each crash that caught requests in flight. */
  readonly onCrash: (fingerprints: readonly string[], engine: string) => void;
  readonly logger: Logger;
  readonly metrics?: CellMetrics | undefined;
}
