import type { JournalDecision } from '@laburnumshift/types';
import type { AttemptGuard } from './attempt-guard.js';

/** Attempts that ended and are remembered, so that they are never started again. */
const MAX_ENDED = 10_000;
const ASKED_BEFORE: JournalDecision = {
  kind: 'unavailable',
  detail: 'the attempt was asked for before',
  seen: true,
};

/** Creates the guard of a node's own attempts. */
export function createAttemptGuard(): AttemptGuard {
  const ended = new Set<string>();
  const open = new Set<string>();
  const markEnded = (attemptId: string): void => {
    open.delete(attemptId);
    ended.add(attemptId);
    for (const oldest of ended) {
      if (ended.size <= MAX_ENDED) break;
      ended.delete(oldest);
    }
  };
  return {
    runOnce: async (attemptId, ask) => {
      if (ended.has(attemptId) || open.has(attemptId)) return ASKED_BEFORE;
      open.add(attemptId);
      try {
        return await ask();
      } finally {
        markEnded(attemptId);
      }
    },
  };
}
