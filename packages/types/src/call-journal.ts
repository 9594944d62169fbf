import type { JournalAbandon } from './journal-abandon.js';
import type { JournalBegin } from './journal-begin.js';
import type { JournalDecision } from './journal-decision.js';
import type { JournalFinish } from './journal-finish.js';
import type { JournalLook } from './journal-look.js';

/** The journal of non-idempotent calls as the request path sees it. */
export interface CallJournal {
  readonly beginCall: (begin: JournalBegin) => Promise<JournalDecision>;
  readonly finishCall: (finish: JournalFinish) => Promise<boolean>;
  readonly abandonCall: (abandon: JournalAbandon) => Promise<boolean>;
  /** Records that the answer of a dispatched attempt was lost, so that a resend learns `unknown` without waiting. */
  readonly markUnknown: (attempt: JournalAbandon) => Promise<boolean>;
  readonly findCall: (look: JournalLook) => Promise<JournalDecision>;
  readonly close: () => Promise<void>;
}
