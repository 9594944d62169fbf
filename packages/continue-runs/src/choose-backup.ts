import type { BackupCandidate } from './backup-candidate.js';
import type { BackupChoice } from './backup-choice.js';
import type { BackupInput } from './backup-input.js';
import { computeTransferMs } from './compute-transfer-ms.js';
import { isWorthBackup } from './is-worth-backup.js';

/** Average time between unannounced ends of one engine, milliseconds. */
const ENGINE_LIFE_MS = 600_000;
/** Chance that an engine at risk ends during the run. */
const RISK_CHANCE = 0.25;
/** Loss of a run that cannot be sent again, milliseconds of delay: the penalty of one failed attempt in placement. */
const LOST_RUN_MS = 6000;
/** Links that a transfer occupies: those of the source and of the target. */
const LINKS = 2;
/** Factor of a transfer between failure domains, which takes twice as long. */
const REMOTE_FACTOR = 2;
/** Share of an engine's memory up to which it gets copies: above it they would take the memory of its own runs soon. */
const MAX_MEMORY_SHARE = 0.5;
/** Most copies of one host's runs at one engine, as hosts do not know of each other's copies. */
const MAX_COPIES_PER_ENGINE = 2;
/**
 * Decides which engine, if any, gets a copy of a run while it runs. Load: each call to an engine service with backups, once an attempt.
 * The cost is the time for which the transfer occupies both links; the gain is the chance that the engine ends during the run, times
 * what would be lost. A run that can be sent again loses only its own time, and gets a copy only when its engine is at risk.
 */
export function chooseBackup(input: BackupInput): BackupChoice | undefined {
  const { run, source, tokens } = input;
  if (!isWorthBackup(run)) return undefined;
  const chance = run.isSourceAtRisk ? RISK_CHANCE : Math.min(1, run.expectedRunMs / ENGINE_LIFE_MS);
  const gainMs = chance * (run.isRepeatable ? run.expectedRunMs : run.expectedRunMs + LOST_RUN_MS);
  const computeCostMs = ({ failureDomain }: BackupCandidate): number =>
    LINKS * computeTransferMs(input) * (failureDomain === source.failureDomain ? 1 : REMOTE_FACTOR);
  const [best] = input.candidates
    .filter(
      (candidate) =>
        candidate.id !== source.id &&
        candidate.machine !== source.machine &&
        candidate.version === input.version &&
        !candidate.isAtRisk &&
        candidate.copies < MAX_COPIES_PER_ENGINE &&
        candidate.heldTokens + tokens <= input.capacityTokens * MAX_MEMORY_SHARE,
    )
    .map((candidate) => ({ candidate, costMs: computeCostMs(candidate) }))
    .filter(({ costMs }) => costMs < gainMs)
    .sort(
      (a, b) =>
        a.costMs - b.costMs ||
        a.candidate.copies - b.candidate.copies ||
        a.candidate.heldTokens - b.candidate.heldTokens,
    );
  return best && { id: best.candidate.id, costMs: best.costMs, gainMs };
}
