import type { JournalDecision } from '@laburnumshift/types';

/** Lets each attempt id ask for permission once. */
export interface AttemptGuard {
  readonly runOnce: (attemptId: string, ask: () => Promise<JournalDecision>) => Promise<JournalDecision>;
}
