import type { RetentionPlanner, RunReport } from '@laburnumshift/types';
import type { Arrival } from './arrival.js';
import { EngineCaches } from './engine-caches.js';
import type { RetentionFigures } from './retention-figures.js';
import { SimulatedStore } from './simulated-store.js';
import type { SimulationOptions } from './simulation-options.js';

/** Time between two calls of `planChanges`. */
const CHANGE_EVERY_MS = 10_000;

function buildReport(arrival: Arrival, engine: number, cached: number, imported: number): RunReport {
  const { requestId, account, service, pieces } = arrival;
  const rest = pieces.slice(cached + imported);
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
    computedTokens: rest.reduce((sum, piece) => sum + piece.tokens, 0),
    outputTokens: 0,
  };
}

/** Runs a trace against a planner on a simulated clock. Every request goes to the engine with the longest cached prefix. */
export function runSimulation(
  name: string,
  planner: RetentionPlanner,
  trace: readonly Arrival[],
  options: SimulationOptions,
): RetentionFigures {
  const caches = new EngineCaches(options.engines, options.enginePieces);
  const store = new SimulatedStore(options);
  const seen = new Set<string>();
  const sums = { requests: 0, prompt: 0, computed: 0, fresh: 0, imported: 0, exported: 0 };
  let changeMs = 0;
  for (const arrival of trace) {
    const { atMs, pieces, account } = arrival;
    for (; changeMs <= atMs; changeMs += CHANGE_EVERY_MS) {
      store.finishTransfers(changeMs);
      const changes = planner.planChanges([store.getView(changeMs)], store.directory, changeMs);
      for (const change of changes) store.applyChange(change, changeMs);
    }
    store.finishTransfers(atMs);
    const before = { imported: store.importedBytes, exported: store.exportedBytes };
    const { engine, cached } = caches.chooseEngine(pieces);
    const rest = pieces.slice(cached).map(({ chain }) => store.directory.findStored(account, chain)[0]);
    const absent = rest.indexOf(undefined);
    const available = rest.slice(0, absent < 0 ? rest.length : absent).filter((piece) => piece !== undefined);
    const computeMs = ((available.length * options.pieceTokens) / options.prefillTokensPerSecond) * 1000;
    const imported = store.readPieces(available, computeMs, atMs);
    caches.insertPieces(engine, pieces);
    const report = buildReport(arrival, engine, cached, imported);
    planner.recordUse(report, atMs);
    const plans = planner.planExports(report, [store.getView(atMs)], store.directory, atMs);
    for (const plan of plans) store.writePiece(plan, atMs);
    const fresh = pieces.filter(({ chain }) => !seen.has(chain));
    for (const { chain } of fresh) seen.add(chain);
    if (atMs < options.warmUpMs) continue;
    sums.requests += 1;
    sums.prompt += pieces.length * options.pieceTokens;
    sums.computed += report.computedTokens;
    sums.fresh += fresh.length * options.pieceTokens;
    sums.imported += store.importedBytes - before.imported;
    sums.exported += store.exportedBytes - before.exported;
  }
  return {
    planner: name,
    requests: sums.requests,
    promptTokens: sums.prompt,
    recomputedShare: sums.computed / sums.prompt,
    newShare: sums.fresh / sums.prompt,
    movedBytes: sums.imported + sums.exported,
    importedBytes: sums.imported,
    exportedBytes: sums.exported,
  };
}
