import type { Priority } from '@laburnumshift/types';

/** Requests that may queue on an engine beyond its slots, so that a short wait for cached pieces can be cheaper than another engine. */
const MAX_QUEUED_PER_ENGINE = 2;
/**
 * Share of the slots that bulk requests may hold. Engines prefill urgent and normal prompts first, so bulk requests stay long
 * under load and would otherwise hold every slot.
 */
const MAX_BULK_SHARE = 0.5;

/**
 * Computes the number of requests in flight below which an engine may take another one of this priority.
 *
 * @param urgentSlots slots reserved for urgent requests
 */
export function computeInFlightLimit(slots: number, urgentSlots: number, priority: Priority): number {
  if (priority === 'urgent') return slots + MAX_QUEUED_PER_ENGINE;
  if (priority === 'normal') return slots + MAX_QUEUED_PER_ENGINE - urgentSlots;
  return Math.max(1, Math.floor(slots * MAX_BULK_SHARE));
}
