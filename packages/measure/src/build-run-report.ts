import type { RunReport } from '@laburnumshift/types';
import type { SimRun } from './sim-run.js';

/** Builds the report of a finished run. The last piece is left out: in a trace it never returns. */
export function buildRunReport({ request, engine, decision }: SimRun): RunReport {
  const { id, account, kind, pieces } = request;
  return {
    requestId: id,
    pool: 'pool',
    cell: 0,
    engine: engine.name,
    fingerprint: id,
    result: 'finished',
    estimateMs: decision.estimateMs,
    weightVersion: 'v1',
    cacheScope: account,
    service: kind.service,
    account,
    pieces: pieces.slice(0, -1),
    cachedPieces: decision.cachedPieces,
    importedPieces: decision.importEnd - decision.headPieces,
    computedTokens: decision.computedTokens,
    outputTokens: kind.outputTokens,
  };
}
