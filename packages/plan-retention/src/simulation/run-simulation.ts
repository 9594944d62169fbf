import type { RetentionPlanner, RunReport } from '@laburnumshift/types';
import type { TraceRequest } from './trace-request.js';
import { EngineCaches } from './engine-caches.js';
import type { RetentionResult } from './retention-result.js';
import { SimulatedStore } from './simulated-store.js';
import type { SimulationOptions } from './simulation-options.js';

/** Interval between calls of `planChanges`, milliseconds. */
const PLAN_INTERVAL_MS = 10_000;

function buildReport(request: TraceRequest, engine: number, cached: number, imported: number): RunReport {
  const { requestId, account, service, pieces } = request;
  const uncached = pieces.slice(cached + imported);
  return {
    requestId,
    pool: 'pool',
    cell: 0,
    engine: `engine-${String(engine)}`,
    fingerprint: requestId,
    result: 'finished',
    estimateMs: 0,
    weightVersion: 'v1',
    cacheScope: account,
    service,
    account,
    pieces,
    cachedPieces: cached,
    importedPieces: imported,
    computedTokens: uncached.reduce((sum, piece) => sum + piece.tokens, 0),
    outputTokens: 0,
  };
}

/** Runs a trace against a planner in simulated time. Each request goes to the engine chosen by `EngineCaches`. */
export function runSimulation(
  name: string,
  planner: RetentionPlanner,
  trace: readonly TraceRequest[],
  options: SimulationOptions,
): RetentionResult {
  const caches = new EngineCaches(options.engines, options.engineCachePieces);
  const store = new SimulatedStore(options);
  const seenChains = new Set<string>();
  const sums = { requests: 0, prompt: 0, computed: 0, newPieces: 0, imported: 0, exported: 0 };
  let nextPlanMs = 0;
  for (const request of trace) {
    const { atMs, pieces, account } = request;
    for (; nextPlanMs <= atMs; nextPlanMs += PLAN_INTERVAL_MS) {
      store.finishTransfers(nextPlanMs);
      const changes = planner.planChanges([store.getView(nextPlanMs)], store.directory, nextPlanMs);
      for (const change of changes) store.applyChange(change, nextPlanMs);
    }
    store.finishTransfers(atMs);
    const before = { imported: store.importedBytes, exported: store.exportedBytes };
    const { engine, cached } = caches.chooseEngine(pieces);
    const uncached = pieces
      .slice(cached)
      .map(({ chain }) => store.directory.findStoredCopies(account, chain)[0]);
    const firstMissing = uncached.indexOf(undefined);
    const available = uncached
      .slice(0, firstMissing < 0 ? uncached.length : firstMissing)
      .filter((piece) => piece !== undefined);
    const computeMs = ((available.length * options.pieceTokens) / options.prefillTokensPerSecond) * 1000;
    const imported = store.readPieces(available, computeMs, atMs);
    caches.insertPieces(engine, pieces);
    const report = buildReport(request, engine, cached, imported);
    planner.recordUse(report, atMs);
    const plans = planner.planExports(report, [store.getView(atMs)], store.directory, atMs);
    for (const plan of plans) store.writePiece(plan, atMs);
    const newPieces = pieces.filter(({ chain }) => !seenChains.has(chain));
    for (const { chain } of newPieces) seenChains.add(chain);
    if (atMs < options.warmUpMs) continue;
    sums.requests += 1;
    sums.prompt += pieces.length * options.pieceTokens;
    sums.computed += report.computedTokens;
    sums.newPieces += newPieces.length * options.pieceTokens;
    sums.imported += store.importedBytes - before.imported;
    sums.exported += store.exportedBytes - before.exported;
  }
  return {
    planner: name,
    requests: sums.requests,
    promptTokens: sums.prompt,
    recomputedTokenShare: sums.computed / sums.prompt,
    newTokenShare: sums.newPieces / sums.prompt,
    movedBytes: sums.imported + sums.exported,
    importedBytes: sums.imported,
    exportedBytes: sums.exported,
  };
}
