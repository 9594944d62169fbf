import { readMonotonicMs } from '@laburnumshift/clock';
import { computeCacheScope } from '@laburnumshift/hash-pieces';
import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import type { BackendServer, PoolConfig } from '@laburnumshift/types';
import { CELL_TIMING } from './cell-timing.js';
import type { LocalPlacer } from './local-placer.js';

const MS_PER_S = 1000;
/**
 * Utilization is rounded down to a multiple of this. Among engines with equal rounded utilization the first piece of the
 * prompt decides, so that prompts with the same beginning reach the same cache.
 */
const UTILIZATION_STEP = 0.25;

/** Creates the placer that an entry node uses while the home of a cell does not answer. */
export function createLocalPlacer(): LocalPlacer {
  const runs = new Map<string, string>();
  const inFlight = new Map<string, number>();
  const versions = new Map<string, string>();
  const failed = new Map<string, { readonly backoffMs: number; readonly untilMs: number }>();
  let leaving: ReadonlySet<string> = new Set();

  const releaseRun = (requestId: string): void => {
    const engine = runs.get(requestId);
    if (engine === undefined) return;
    runs.delete(requestId);
    inFlight.set(engine, Math.max(0, (inFlight.get(engine) ?? 0) - 1));
  };
  const getVersion = (server: BackendServer, pool: PoolConfig): string =>
    versions.get(server.name) ?? pool.weightVersion ?? '';

  const place: LocalPlacer['place'] = (request, pool, servers) => {
    const nowMs = readMonotonicMs();
    const chain = request.pieces[0]?.chain ?? request.fingerprint;
    const ranked = servers
      .filter(({ name }) => !leaving.has(name) && !request.exclude.includes(name))
      .filter(({ name }) => (failed.get(name)?.untilMs ?? 0) <= nowMs)
      .filter(
        (server) => request.weightVersion === undefined || getVersion(server, pool) === request.weightVersion,
      )
      .map((server) => ({
        server,
        utilization: Math.floor(
          (inFlight.get(server.name) ?? 0) / Math.max(server.slots, 1) / UTILIZATION_STEP,
        ),
        weight: computeRendezvousWeight(chain, server.name),
      }))
      .sort((a, b) => a.utilization - b.utilization || b.weight - a.weight);
    const server = ranked[0]?.server;
    if (server === undefined) {
      return { kind: 'refused', code: 'no_engine', retryAfterMs: CELL_TIMING.noEngineRetryDelayMs };
    }
    const weightVersion = getVersion(server, pool);
    const tokens = request.pieces.reduce((sum, piece) => sum + piece.tokens, 0);
    const grant = {
      engine: server.name,
      url: server.url,
      weightVersion,
      cacheScope: computeCacheScope(request.account, request.model, request.adapter, weightVersion),
      cachedPieces: 0,
      headPieces: request.pieces.length,
      imports: [],
      estimateMs: (tokens / Math.max(server.prefillTokensPerSecond, 1)) * MS_PER_S,
      candidates: [],
    };
    return { kind: 'granted', grant };
  };

  return {
    place,
    releaseRun,
    registerRun: (requestId, engine) => {
      releaseRun(requestId);
      runs.set(requestId, engine);
      inFlight.set(engine, (inFlight.get(engine) ?? 0) + 1);
    },
    reportFailure: (engine) => {
      const backoffMs = Math.min(
        (failed.get(engine)?.backoffMs ?? CELL_TIMING.initialBackoffMs / 2) * 2,
        CELL_TIMING.maxBackoffMs,
      );
      failed.set(engine, { backoffMs, untilMs: readMonotonicMs() + backoffMs });
    },
    observeWeightVersion: (engine, weightVersion) => {
      versions.set(engine, weightVersion);
      failed.delete(engine);
    },
    setLeavingServers: (names) => {
      leaving = names;
    },
  };
}
