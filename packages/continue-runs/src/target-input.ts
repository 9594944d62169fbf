import type { BackupCandidate } from './backup-candidate.js';

/** Input of the search for engines that can take the memory of a run. */
export interface TargetInput {
  /** Tokens that the run holds at its end: prompt and expected output. */
  readonly tokens: number;
  readonly source: Pick<BackupCandidate, 'id' | 'machine' | 'failureDomain'>;
  /** Weight version that the run has to run under; no engine is chosen when it is not known. */
  readonly version: number | undefined;
  /** Size of one engine's memory, tokens. */
  readonly capacityTokens: number;
  readonly bytesPerToken: number;
  /** Bandwidth of an engine's link, megabits per second. */
  readonly linkMbps: number;
  readonly candidates: readonly BackupCandidate[];
}
