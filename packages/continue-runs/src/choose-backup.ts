import type { BackupChoice } from './backup-choice.js';
import type { BackupInput } from './backup-input.js';
import { chooseTarget } from './choose-target.js';
import { isWorthBackup } from './is-worth-backup.js';
import { LOST_RUN_MS } from './lost-run-ms.js';

/** Chance that an engine at risk ends during the run. */
const RISK_CHANCE = 0.25;
/** Share of an engine's memory up to which it gets copies: above it they would take the memory of its own runs soon. */
const MAX_MEMORY_SHARE = 0.5;

/**
 * Decides which engine, if any, gets a copy of a run while it runs. Load: each attempt of a call to an engine service with backups.
 * The cost is the time for which the transfer occupies both links; the gain is the chance that the engine ends during the run, times
 * what would be lost. A run that can be sent again loses only its own time, and gets a copy only when its engine is at risk.
 */
export function chooseBackup(input: BackupInput): BackupChoice | undefined {
  const { run } = input;
  if (!isWorthBackup(run)) return undefined;
  const chance = run.isSourceAtRisk
    ? RISK_CHANCE
    : Math.min(1, run.expectedRunMs / (run.engineLifeMs ?? Infinity));
  const gainMs = chance * (run.isRepeatable ? run.expectedRunMs : run.expectedRunMs + LOST_RUN_MS);
  return chooseTarget(input, gainMs, MAX_MEMORY_SHARE);
}
