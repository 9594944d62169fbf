/** Client of the API that entry nodes offer to callers. */
export type { CompletionOutput } from './completion-output.js';
export { createEntryClient } from './create-entry-client.js';
export type { EntryAnswer } from './entry-answer.js';
export type { EntryClient } from './entry-client.js';
export type { EntryError } from './entry-error.js';
