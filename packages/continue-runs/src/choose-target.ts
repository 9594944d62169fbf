import type { BackupCandidate } from './backup-candidate.js';
import type { BackupChoice } from './backup-choice.js';
import { computeTransferMs } from './compute-transfer-ms.js';
import type { TargetInput } from './target-input.js';

/** Links that a transfer occupies: those of the source and of the target. */
const LINKS = 2;
/** Factor of a transfer between failure domains, which takes twice as long. */
const REMOTE_FACTOR = 2;
/** Most copies of one host's runs at one engine, as hosts do not know of each other's copies. */
const MAX_COPIES_PER_ENGINE = 2;

/**
 * Chooses the engine to which the memory of a run is sent: on another machine, with the same weights and free memory, where the transfer
 * costs least, and less than `gainMs`. Load: see its callers.
 *
 * @param maxMemoryShare share of an engine's memory up to which it is used
 */
export function chooseTarget(
  input: TargetInput,
  gainMs: number,
  maxMemoryShare: number,
): BackupChoice | undefined {
  const { source, tokens } = input;
  const transferMs = LINKS * computeTransferMs(input);
  const computeCostMs = ({ failureDomain }: BackupCandidate): number =>
    transferMs * (failureDomain === source.failureDomain ? 1 : REMOTE_FACTOR);
  const [best] = input.candidates
    .filter(
      (candidate) =>
        candidate.id !== source.id &&
        candidate.machine !== source.machine &&
        input.version !== undefined &&
        candidate.version === input.version &&
        !candidate.isAtRisk &&
        candidate.copies < MAX_COPIES_PER_ENGINE &&
        candidate.heldTokens + tokens <= input.capacityTokens * maxMemoryShare,
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
