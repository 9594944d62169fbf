import type { RelayPlan } from '@laburnumshift/share-load';

/** Counts the hosts that read the cache events of stores, including this one: the relays, or all hosts of a small fleet. */
export function countEventReaders(plan: Pick<RelayPlan, 'reportTo' | 'otherRelays'>): number {
  return plan.reportTo.length + plan.otherRelays.length + 1;
}
