import type { JournalAttempt } from './journal-attempt.js';
import type { JournalBegin } from './journal-begin.js';
import type { JournalDecision } from './journal-decision.js';
import type { JournalFinish } from './journal-finish.js';
import type { JournalLookup } from './journal-lookup.js';

/**
 * Interface of the request path to the journal of non-idempotent calls. The `boolean` results are true when the journal
 * recorded the change.
 */
export interface CallJournal {
  readonly beginCall: (begin: JournalBegin) => Promise<JournalDecision>;
  readonly finishCall: (finish: JournalFinish) => Promise<boolean>;
  readonly abandonCall: (abandon: JournalAttempt) => Promise<boolean>;
  /** Records that the answer of a dispatched attempt was lost, so that a resend gets `unknown` without waiting. */
  readonly markUnknown: (attempt: JournalAttempt) => Promise<boolean>;
  readonly findCall: (look: JournalLookup) => Promise<JournalDecision>;
  readonly close: () => Promise<void>;
}
