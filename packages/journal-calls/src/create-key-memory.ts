import { computeCallId } from './compute-call-id.js';
import type { KeyMemory } from './key-memory.js';

/** Keys in memory. 150 bookings a second on a node fill it in more than a minute; younger keys are not forgotten. */
const MAX_KEYS = 10_000;

/** Stands for attempts of which only the journal's decision on another attempt is known. */
const ANOTHER = 'another';

/**
 * Creates the memory of submitted keys. An attempt that ended without permission is forgotten, because it never runs. A
 * key may have been dropped when it is not younger than the youngest dropped one; it then counts as seen.
 */
export function createKeyMemory(maxKeys = MAX_KEYS): KeyMemory {
  const keys = new Map<string, { readonly attempts: Set<string>; readonly issuedAtMs: number }>();
  let droppedUntilMs = -Infinity;

  const addKey = (id: string, attemptId: string, issuedAtMs: number): void => {
    const known = keys.get(id);
    known?.attempts.add(attemptId);
    if (known !== undefined) return;
    keys.set(id, { attempts: new Set([attemptId]), issuedAtMs });
    for (const [oldest, key] of keys) {
      if (keys.size <= maxKeys) break;
      keys.delete(oldest);
      droppedUntilMs = Math.max(droppedUntilMs, key.issuedAtMs);
    }
  };
  const dropKey = (id: string, attemptId: string): void => {
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
      if (decision.kind !== 'unavailable' || decision.seen) addKey(id, ANOTHER, issuedAtMs);
      if (decision.kind !== 'unavailable') {
        dropKey(id, attemptId);
        return decision;
      }
      const others = [...(keys.get(id)?.attempts ?? [])].filter((other) => other !== attemptId);
      if (isOwn) dropKey(id, attemptId);
      return { ...decision, seen: others.length > 0 || issuedAtMs <= droppedUntilMs };
    },
    dropAttempt: (attempt) => {
      dropKey(computeCallId(attempt), attempt.attemptId);
    },
  };
}
