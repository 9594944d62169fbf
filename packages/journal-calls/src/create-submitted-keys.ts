import { computeCallId } from './compute-call-id.js';
import type { SubmittedKeys } from './submitted-keys.js';

/** Limit on the keys in memory. At 150 bookings a second on a node, a key is kept for more than a minute. */
const MAX_KEYS = 10_000;

/** Placeholder id for an attempt that is known only from the journal's decision on another attempt. */
const OTHER_ATTEMPT = 'another';

/**
 * Creates the record of submitted keys. An attempt that ended without permission is removed, because it never runs.
 * Beyond `maxKeys` the oldest keys are evicted. A key that is not issued later than the latest evicted key may have
 * been evicted itself, so it counts as seen.
 */
export function createSubmittedKeys(maxKeys = MAX_KEYS): SubmittedKeys {
  const keys = new Map<string, { readonly attempts: Set<string>; readonly issuedAtMs: number }>();
  let latestEvictedMs = -Infinity;

  const addKey = (id: string, attemptId: string, issuedAtMs: number): void => {
    const known = keys.get(id);
    known?.attempts.add(attemptId);
    if (known !== undefined) return;
    keys.set(id, { attempts: new Set([attemptId]), issuedAtMs });
    for (const [oldest, key] of keys) {
      if (keys.size <= maxKeys) break;
      keys.delete(oldest);
      latestEvictedMs = Math.max(latestEvictedMs, key.issuedAtMs);
    }
  };
  const removeKeyAttempt = (id: string, attemptId: string): void => {
    const known = keys.get(id);
    known?.attempts.delete(attemptId);
    if (known?.attempts.size === 0) keys.delete(id);
  };

  return {
    trackBegin: async (begin, isOwn, decide) => {
      const { attemptId, issuedAtMs } = begin;
      const id = computeCallId(begin);
      addKey(id, attemptId, issuedAtMs);
      const decision = await decide();
      if (decision.kind === 'run') return decision;
      if (decision.kind !== 'unavailable' || decision.seen) addKey(id, OTHER_ATTEMPT, issuedAtMs);
      if (decision.kind !== 'unavailable') {
        removeKeyAttempt(id, attemptId);
        return decision;
      }
      const others = [...(keys.get(id)?.attempts ?? [])].filter((other) => other !== attemptId);
      if (isOwn) removeKeyAttempt(id, attemptId);
      return { ...decision, seen: others.length > 0 || issuedAtMs <= latestEvictedMs };
    },
    removeAttempt: (attempt) => {
      removeKeyAttempt(computeCallId(attempt), attempt.attemptId);
    },
  };
}
