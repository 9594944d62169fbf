import type { History } from '../history/history.js';
import type { INVARIANTS } from '../history/invariants.js';
import { checkAccounts } from './check-accounts.js';
import { checkAnswers } from './check-answers.js';
import { checkBlocks } from './check-blocks.js';
import { checkGenerations } from './check-generations.js';
import { checkLeaving } from './check-leaving.js';
import { checkNotRun } from './check-not-run.js';
import { checkShutdown } from './check-shutdown.js';
import { checkSingleRuns } from './check-single-runs.js';
import { checkVersions } from './check-versions.js';

/** The check of each invariant: describes what breaks it in a history. */
export const INVARIANT_CHECKS: Readonly<
  Record<keyof typeof INVARIANTS, (history: History) => readonly string[]>
> = {
  I1: checkBlocks,
  I2: checkAccounts,
  I3: checkVersions,
  I4: checkAnswers,
  I5: checkNotRun,
  I6: checkSingleRuns,
  I7: checkLeaving,
  I8: checkShutdown,
  I9: checkGenerations,
};
