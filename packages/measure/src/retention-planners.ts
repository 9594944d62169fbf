import {
  createKeepAllPlanner,
  createKeepNonePlanner,
  createRetentionPlanner,
} from '@laburnumshift/plan-retention';
import type { RetentionPlannerOptions } from '@laburnumshift/plan-retention';
import type { RetentionPlanner } from '@laburnumshift/types';
import type { Deployment } from './deployment.js';

/** Planners of `plan-retention` by name, created anew for each run. */
export const RETENTION_PLANNERS: Readonly<
  Record<'planned' | 'keep-none' | 'keep-all-lru', (deployment: Deployment) => RetentionPlanner>
> = {
  planned: (deployment) => createRetentionPlanner(buildOptions(deployment)),
  'keep-none': () => createKeepNonePlanner(),
  'keep-all-lru': (deployment) => createKeepAllPlanner(buildOptions(deployment)),
};

function buildOptions(deployment: Deployment): RetentionPlannerOptions {
  const { pieceBytes, pieceTokens, prefillTokensPerSecond, classes } = deployment;
  const weights = new Map(classes.map((kind) => [kind.service, kind.weights]));
  return {
    pieceBytes,
    pieceTokens,
    prefillTokensPerSecond,
    getWeights: (service) =>
      weights.get(service) ?? { perMs: 0, perKiloTokenRecomputed: 0, perMebibyteMoved: 0 },
  };
}
