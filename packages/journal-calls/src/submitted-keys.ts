import type { JournalAttempt, JournalBegin, JournalDecision } from '@laburnumshift/types';

/** Remembers which keys were submitted through this node, or to it as their home node. */
export interface SubmittedKeys {
  /**
   * Runs `decide` for an attempt and sets `seen` in an `unavailable` decision: true when another attempt with the key
   * is remembered, or when the key may have been evicted.
   *
   * @param isOwn false at the home node of another node's attempt. That node may have timed out and obtained permission
   *   by its own write, so the attempt is remembered until that node abandons it
   */
  readonly trackBegin: (
    begin: JournalBegin,
    isOwn: boolean,
    decide: () => Promise<JournalDecision>,
  ) => Promise<JournalDecision>;
  /** Removes an attempt that was abandoned without a dispatch. */
  readonly removeAttempt: (attempt: JournalAttempt) => void;
}
