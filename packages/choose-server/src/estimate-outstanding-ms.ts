import { NO_WORK } from '@laburnumshift/share-load';
import type { ChoiceDeps } from './choice-deps.js';

/** Share of its time that a running call still takes on average. */
const RUNNING_REMAINING_SHARE = 0.5;

/**
 * Estimates the time that the calls at a server of a plain service still take at usual speed, milliseconds: those of this and of other
 * hosts by their estimates, and those that only the server or hosts of earlier versions report by the mean of the service.
 *
 * @param calls calls of all hosts that the server runs or has queued
 * @param meanMs mean time of the calls of the service
 */
export function estimateOutstandingMs(
  { serverTracker, sharing }: Pick<ChoiceDeps, 'serverTracker' | 'sharing'>,
  { id, slots }: { readonly id: string; readonly slots: number },
  calls: number,
  meanMs: number,
): number {
  const runningShare = calls > slots ? Math.max(1, slots) / calls : 1;
  const own = serverTracker.getOutstandingWork(id, runningShare);
  const others = sharing.getWorkOfOthers?.(id) ?? NO_WORK;
  const otherCalls = Math.max(0, calls - own.calls - others.calls);
  return own.ms + others.ms + otherCalls * meanMs * (1 - RUNNING_REMAINING_SHARE * runningShare);
}
