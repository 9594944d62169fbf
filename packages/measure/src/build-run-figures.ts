import { computeFigures } from './compute-figures.js';
import { computeUnfairness } from './compute-unfairness.js';
import type { Deployment } from './deployment.js';
import type { RunFigures } from './run-figures.js';
import type { SimulationResult } from './simulation-result.js';

const BYTES_PER_GIBIBYTE = 1024 ** 3;
/** Time to first token must be back this long after a fault. */
const RECOVERY_MS = 5000;

/** Computes the figures of the requests that arrived after the warm-up. */
export function buildRunFigures(
  run: SimulationResult,
  deployment: Deployment,
  warmupMs: number,
  faultAtMs: number | undefined,
): RunFigures {
  const results = run.results.filter(({ request }) => request.atMs >= warmupMs);
  const filterPriority = (priority: string): typeof results =>
    results.filter(({ request }) => request.kind.priority === priority);
  const interactive = results.filter(({ request }) => request.kind.priority !== 'bulk');
  const tokens = results.reduce((sum, { request, refused }) => sum + (refused ? 0 : request.tokens), 0);
  const filterBetween = (from: number, to: number): typeof results =>
    interactive.filter(({ request }) => request.atMs >= from && request.atMs < to);
  return {
    interactive: computeFigures(interactive),
    urgent: computeFigures(filterPriority('urgent')),
    normal: computeFigures(filterPriority('normal')),
    bulk: computeFigures(filterPriority('bulk')),
    recomputedShare: results.reduce((sum, result) => sum + result.recomputedTokens, 0) / tokens,
    missedShare: results.reduce((sum, result) => sum + result.missedTokens, 0) / tokens,
    computedShare: results.reduce((sum, result) => sum + result.computedTokens, 0) / tokens,
    linkGibibytes: run.movedBytes / BYTES_PER_GIBIBYTE,
    peakLinkUse: run.peakLinkUse,
    refused: results.filter((result) => result.refused).length,
    unfairness: computeUnfairness(filterPriority('normal'), deployment.prefillTokensPerSecond / 1000),
    ...(faultAtMs !== undefined && {
      duringFault: computeFigures(filterBetween(faultAtMs, faultAtMs + RECOVERY_MS)),
      afterFault: computeFigures(filterBetween(faultAtMs + RECOVERY_MS, Infinity)),
    }),
  };
}
