/** Runs one completion from placement to the last token. */
export { checkToken } from './check-token.js';
export type { CompletionDependencies } from './completion-dependencies.js';
export type { CompletionJob } from './completion-job.js';
export { computeFingerprint } from './compute-fingerprint.js';
export type { EmitToken } from './emit-token.js';
export { runCompletion } from './run-completion.js';
export type { TraceRecorder } from './trace-recorder.js';
