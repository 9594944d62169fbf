/** Journal that ensures that a non-idempotent call runs at most once. */
export { createCallJournal } from './create-call-journal.js';
export type { JournalLimits } from './journal-limits.js';
export type { JournalOptions } from './journal-options.js';
