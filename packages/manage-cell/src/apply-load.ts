import type { EngineLoad } from '@laburnumshift/types';
import { CELL_TIMES } from './cell-times.js';
import type { EngineRecord } from './engine-record.js';

/** Takes a load report into account. What was granted within the report's lag is not in it yet and is added. */
export function applyLoad(record: EngineRecord, load: EngineLoad, nowMs: number): void {
  record.load = load;
  // A process that reports was not gone after all.
  const past = record.pastBootIds.indexOf(load.boot_id);
  if (past >= 0) record.pastBootIds.splice(past, 1);
  record.loadAtMs = nowMs;
  record.failures = 0;
  record.backoffMs = CELL_TIMES.backoffMs;
  record.leavingSeen = false;
  record.foreign = Math.max(0, load.running - Math.max(record.ownPeak, record.running.size));
  record.ownPeak = record.running.size;
  let recent = 0;
  for (const { grantedAtMs, decision } of record.running.values()) {
    if (nowMs - grantedAtMs < CELL_TIMES.loadLagMs) recent += decision.computedTokens;
  }
  record.backlog.setTotal(load.queued_tokens + recent, record.prefillRate, nowMs);
}
