import { createKeepAllPlanner } from '../create-keep-all-planner.js';
import { createKeepNonePlanner } from '../create-keep-none-planner.js';
import { createRetentionPlanner } from '../create-retention-planner.js';
import type { RetentionPlannerOptions } from '../retention-planner-options.js';
import { DEFAULT_SIMULATION } from './default-simulation.js';
import { generateTrace } from './generate-trace.js';
import type { RetentionResult } from './retention-result.js';
import { runSimulation } from './run-simulation.js';
import type { SimulationOptions } from './simulation-options.js';

/** Names of the compared planners. */
type PlannerName = 'keepNone' | 'keepAll' | 'expectedValue';

/**
 * Runs one seeded trace of returning prompts against the planner and its two baselines.
 *
 * @param changes options that differ from the default simulation
 */
export function comparePlanners(
  seed: number,
  changes: Partial<SimulationOptions> = {},
): Readonly<Record<PlannerName, RetentionResult>> {
  const options: SimulationOptions = { ...DEFAULT_SIMULATION, ...changes, seed };
  const trace = generateTrace(options);
  const plannerOptions: RetentionPlannerOptions = {
    pieceBytes: options.pieceBytes,
    pieceTokens: options.pieceTokens,
    prefillTokensPerSecond: options.prefillTokensPerSecond,
    getWeights: () => ({ perMs: 1, perKiloTokenRecomputed: 20, perMebibyteMoved: 5 }),
    getQuotaBytes: () => options.quotaPieces * options.pieceBytes,
  };
  return {
    keepNone: runSimulation('keep none', createKeepNonePlanner(), trace, options),
    keepAll: runSimulation('keep all', createKeepAllPlanner(plannerOptions), trace, options),
    expectedValue: runSimulation('expected value', createRetentionPlanner(plannerOptions), trace, options),
  };
}
