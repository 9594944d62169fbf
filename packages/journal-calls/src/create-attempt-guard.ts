import type { JournalDecision } from '@laburnumshift/types';
import type { AttemptGuard } from './attempt-guard.js';

/**
 * Limit on the remembered ids of ended attempts, which must not start again. The oldest ids are evicted first.
 */
const MAX_ENDED_ATTEMPTS = 10_000;
const ALREADY_REQUESTED: JournalDecision = {
  kind: 'unavailable',
  detail: 'the attempt was asked for before',
  seen: true,
};

/** Creates the guard for the attempts that this node dispatches. */
export function createAttemptGuard(): AttemptGuard {
  const endedAttempts = new Set<string>();
  const openAttempts = new Set<string>();
  const markEnded = (attemptId: string): void => {
    openAttempts.delete(attemptId);
    endedAttempts.add(attemptId);
    for (const oldest of endedAttempts) {
      if (endedAttempts.size <= MAX_ENDED_ATTEMPTS) break;
      endedAttempts.delete(oldest);
    }
  };
  return {
    runOnce: async (attemptId, requestPermission) => {
      if (endedAttempts.has(attemptId) || openAttempts.has(attemptId)) return ALREADY_REQUESTED;
      openAttempts.add(attemptId);
      try {
        return await requestPermission();
      } finally {
        markEnded(attemptId);
      }
    },
  };
}
