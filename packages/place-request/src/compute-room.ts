import type { Priority } from '@laburnumshift/types';

/** Requests that may wait on an engine beyond its slots, so that a short wait for cached pieces can win. */
const QUEUE_DEPTH = 2;
/**
 * Part of the slots that bulk requests may hold. Engines compute urgent and normal prompts first, so bulk ones stay long
 * under load and would otherwise fill every slot.
 */
const BULK_PART = 0.5;

/** Computes how many requests an engine may have in flight for another one of this priority to be added. */
export function computeRoom(slots: number, urgentSlots: number, priority: Priority): number {
  if (priority === 'urgent') return slots + QUEUE_DEPTH;
  if (priority === 'normal') return slots + QUEUE_DEPTH - urgentSlots;
  return Math.max(1, Math.floor(slots * BULK_PART));
}
