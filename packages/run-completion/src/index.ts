/** Runs one completion from placement to the last token. */
export { checkStreamToken } from './check-stream-token.js';
export type { CompletionDependencies } from './completion-dependencies.js';
export type { AcceptedCompletion } from './accepted-completion.js';
export { computeRequestFingerprint } from './compute-request-fingerprint.js';
export type { EmitToken } from './emit-token.js';
export { runCompletion } from './run-completion.js';
export type { TraceRecorder } from './trace-recorder.js';
