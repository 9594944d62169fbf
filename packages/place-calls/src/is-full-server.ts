import type { PlainCandidate } from './plain-candidate.js';

/**
 * Share of a queue that calls of a priority may fill, the most urgent first; the last entry applies to all lower priorities. The rest is
 * for more urgent calls, and for calls that other hosts have sent meanwhile.
 */
const QUEUE_SHARES = [1, 0.85] as const;

/** Tells whether the slots and the queue of a server are full for a call of a priority, so that it would refuse the call. */
export function isFullServer({ calls, slots, queueLimit }: PlainCandidate, priority: number): boolean {
  if (queueLimit === undefined) return false;
  const share = priority > 0 ? QUEUE_SHARES[1] : QUEUE_SHARES[0];
  return calls >= slots + queueLimit * share;
}
