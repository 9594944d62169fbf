import type { BackupChoice } from './backup-choice.js';
import { chooseTarget } from './choose-target.js';
import type { TargetInput } from './target-input.js';

/** Share of an engine's memory up to which it gets moved runs: above it engines preempt runs. */
const MAX_MEMORY_SHARE = 0.8;

/** Chooses the engine that a run is moved to, when that costs less than `gainMs`. Load: each run that `decideMove` moves. */
export function chooseMoveTarget(input: TargetInput, gainMs: number): BackupChoice | undefined {
  return chooseTarget(input, gainMs, MAX_MEMORY_SHARE);
}
