import { buildRunFigures } from './build-run-figures.js';
import { CANDIDATES } from './candidates.js';
import { comparePlacement } from './compare-placement.js';
import { computeLowerBound } from './compute-lower-bound.js';
import { DEPLOYMENTS } from './deployments.js';
import { generateTrace } from './generate-trace.js';
import { LOAD_VARIANTS } from './load-variants.js';
import type { RunFigures } from './run-figures.js';
import { simulateCell } from './simulate-cell.js';
import type { VariantFigures } from './variant-figures.js';

const MINUTE_MS = 60_000;
const DURATION_MS = 50 * MINUTE_MS;
/** Until then the stores fill and conversations begin to return. */
const WARMUP_MS = 20 * MINUTE_MS;
const FAULT_AT_MS = 35 * MINUTE_MS;

/** Runs one deployment with all candidates and load variants over the same traces. */
export function runPlacementScenario(
  name: keyof typeof DEPLOYMENTS,
  seed: number,
): { readonly variants: Readonly<Record<string, VariantFigures>>; readonly targets: unknown } {
  const deployment = DEPLOYMENTS[name];
  const variants: Record<string, VariantFigures> = {};
  for (const [variant, { load, fault }] of Object.entries(LOAD_VARIANTS)) {
    const trace = generateTrace(deployment, seed, load, DURATION_MS);
    const candidates: Record<string, RunFigures> = {};
    for (const [candidate, { policy, createPlanner }] of Object.entries(CANDIDATES)) {
      const run = simulateCell({
        deployment,
        trace,
        policy,
        createPlanner,
        fault,
        faultAtMs: FAULT_AT_MS,
        durationMs: DURATION_MS,
      });
      candidates[candidate] = buildRunFigures(run, deployment, WARMUP_MS, fault && FAULT_AT_MS);
    }
    variants[variant] = { lowerBound: computeLowerBound(deployment, trace, WARMUP_MS), candidates };
  }
  return { variants, targets: comparePlacement(deployment, variants) };
}
