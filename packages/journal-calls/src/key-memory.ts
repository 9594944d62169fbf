import type { JournalAbandon, JournalBegin, JournalDecision } from '@laburnumshift/types';

/** Which keys were submitted through a node or to it as their home, as far as it remembers. */
export interface KeyMemory {
  /**
   * Runs the decision on an attempt; `unavailable` becomes `seen` when the key was submitted before.
   *
   * @param isOwn false at the home of another node's attempt: that node may have given up waiting and have got permission
   *   by its own write, so the attempt is remembered until the node withdraws it
   */
  readonly trackBegin: (
    begin: JournalBegin,
    isOwn: boolean,
    decide: () => Promise<JournalDecision>,
  ) => Promise<JournalDecision>;
  /** Forgets an attempt that was withdrawn without a dispatch. */
  readonly dropAttempt: (attempt: JournalAbandon) => void;
}
