import type { JournalDecision } from '@laburnumshift/types';

/** Ensures that each attempt id requests permission to run only once. */
export interface AttemptGuard {
  readonly runOnce: (
    attemptId: string,
    requestPermission: () => Promise<JournalDecision>,
  ) => Promise<JournalDecision>;
}
