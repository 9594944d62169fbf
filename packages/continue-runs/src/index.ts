/** Decisions about runs that continue at another engine. */
export type { BackupCandidate } from './backup-candidate.js';
export type { BackupChoice } from './backup-choice.js';
export type { BackupInput } from './backup-input.js';
export { chooseBackup } from './choose-backup.js';
export { computeTransferMs } from './compute-transfer-ms.js';
export type { CopyTable } from './copy-table.js';
export { createCopyTable } from './create-copy-table.js';
export { createTokenTimes } from './create-token-times.js';
export { decideSourceEnd } from './decide-source-end.js';
export { isWorthBackup } from './is-worth-backup.js';
export type { RunFacts } from './run-facts.js';
export type { SourceEndInput } from './source-end-input.js';
export type { SourceEvidence } from './source-evidence.js';
export type { TokenTimes } from './token-times.js';
