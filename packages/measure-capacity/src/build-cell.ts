import { createLogger } from '@laburnumshift/logger';
import { manageCell, type CellHome } from '@laburnumshift/manage-cell';
import { createRetentionPlanner } from '@laburnumshift/plan-retention';
import { createCacheDirectory } from '@laburnumshift/track-cache';
import type {
  BackendServer,
  CacheDirectory,
  EngineClient,
  EngineLoad,
  PoolConfig,
} from '@laburnumshift/types';

/** Builds a cell's home over engines that answer at once, so that only the home's own work is measured. */
export function buildCell(engines: number): {
  readonly home: CellHome;
  readonly directory: CacheDirectory;
  readonly servers: readonly BackendServer[];
} {
  const servers = Array.from({ length: engines }, (_, i): BackendServer => ({
    name: `engine-1-${String(i).padStart(4, '0')}`,
    url: `http://10.41.0.${String(i)}:8000`,
    failureDomain: 'domain-1',
    checksFencing: true,
    slots: 1_000_000,
    prefillTokensPerSecond: 2_000_000,
    decodeTokensPerSecond: 25,
  }));
  const pool: PoolConfig = {
    name: 'pool-1',
    kind: 'model',
    servers,
    stores: [],
    model: 'model-1',
    weightVersion: 'v1',
    adapters: [],
    pieceTokens: 2000,
    pieceBytes: 1e8,
    urgentSlots: 0,
  };
  const logger = createLogger('cell');
  logger.setLevel('error');
  const directory = createCacheDirectory();
  const home = manageCell({
    pool,
    cell: 0,
    servers,
    createEngineClient: buildEngine,
    createStoreClient: () => {
      throw new Error('the cell has no stores');
    },
    directory,
    planner: createRetentionPlanner({
      pieceBytes: 1e8,
      pieceTokens: 2000,
      prefillTokensPerSecond: 2_000_000,
      getWeights: () => ({ perMs: 1, perKiloTokenRecomputed: 5, perMebibyteMoved: 0.1 }),
    }),
    isSuspect: () => false,
    onEngineCrash: () => undefined,
    logger,
  });
  return { home, directory, servers };
}

function buildEngine(): EngineClient {
  const fail = (): never => {
    throw new Error('not part of the measurement');
  };
  const load: EngineLoad = {
    boot_id: 'boot-1',
    at: 1_790_000_000_000,
    weight_version: 'v1',
    adapters: [],
    role: 'any',
    leaving: false,
    loading: false,
    running: 1,
    queued_tokens: 0,
    running_tokens: 100,
    slots: 1_000_000,
    other_share: 0,
    last_fencing: 0,
  };
  return {
    streamCompletion: fail,
    cancelRun: () => Promise.resolve(),
    // The stream stays open without events until the cell closes it.
    watchEvents: async function* watchEvents(_since, signal) {
      await new Promise((resolve) => {
        signal.addEventListener('abort', resolve);
      });
      yield* [];
    },
    listPieces: () => Promise.resolve({ ok: true, value: { seq: 0, pieces: [] } }),
    readLoad: () => Promise.resolve({ ok: true, value: load }),
    exportPiece: fail,
    sendOrder: fail,
    close: () => undefined,
  };
}
