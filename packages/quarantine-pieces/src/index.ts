/** Finds what calls that crash backend servers have in common, and refuses further calls that have it. */
export type { CrashQuarantine } from './crash-quarantine.js';
export type { CrashQuarantineOptions } from './crash-quarantine-options.js';
export { createCrashQuarantine } from './create-crash-quarantine.js';
export { createSuspectCall } from './create-suspect-call.js';
export { createSuspectTable } from './create-suspect-table.js';
export { createCrashDetector } from './create-crash-detector.js';
export { findCulprits } from './find-culprits.js';
export { startSuspectSharing } from './start-suspect-sharing.js';
export type { Suspect } from './suspect.js';
export type { SuspectTable } from './suspect-table.js';
export type { CallTrait } from './call-trait.js';
export type { CrashRecord } from './crash-record.js';
export type { ServerCrash } from './server-crash.js';
export type { ObservedAttempt } from './observed-attempt.js';
export type { QuarantineVerdict } from './quarantine-verdict.js';
export type { SuspectCall } from './suspect-call.js';
