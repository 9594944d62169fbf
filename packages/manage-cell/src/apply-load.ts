import type { EngineLoad } from '@laburnumshift/types';
import { CELL_TIMING } from './cell-timing.js';
import type { EngineRecord } from './engine-record.js';

/**
 * Updates an engine's record from a load report. Requests granted within the lag of the report are not part of it yet, so
 * their tokens are added to the reported backlog.
 */
export function applyLoad(record: EngineRecord, load: EngineLoad, nowMs: number): void {
  record.load = load;
  // A process that sends a report is still running, so its boot id is not a previous one.
  const previousIndex = record.previousBootIds.indexOf(load.boot_id);
  if (previousIndex >= 0) record.previousBootIds.splice(previousIndex, 1);
  record.loadAtMs = nowMs;
  record.failures = 0;
  record.backoffMs = CELL_TIMING.initialBackoffMs;
  record.leavingByReply = false;
  record.otherRunning = Math.max(0, load.running - Math.max(record.peakOwnRunning, record.running.size));
  record.peakOwnRunning = record.running.size;
  let recentTokens = 0;
  for (const { grantedAtMs, decision } of record.running.values()) {
    if (nowMs - grantedAtMs < CELL_TIMING.loadReportLagMs) recentTokens += decision.computedTokens;
  }
  record.backlog.setTotalTokens(load.queued_tokens + recentTokens, record.prefillRate, nowMs);
}
