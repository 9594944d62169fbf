/** Client of the API that entry nodes offer to callers. */
export type { CompletionResult } from './completion-result.js';
export { createEntryClient } from './create-entry-client.js';
export type { EntryCallResult } from './entry-call-result.js';
export type { EntryClient } from './entry-client.js';
export type { EntryError } from './entry-error.js';
