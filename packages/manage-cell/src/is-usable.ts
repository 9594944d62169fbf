import { CELL_TIMES } from './cell-times.js';
import type { EngineRecord } from './engine-record.js';

/** Failed load readings in a row after which an engine gets no new work. */
const MAX_FAILURES = 2;

/** Tells whether an engine may get new work. */
export function isUsable(record: EngineRecord, nowMs: number): boolean {
  const { load } = record;
  if (load === undefined || load.leaving || load.loading) return false;
  if (record.leavingListed || record.leavingSeen) return false;
  if (record.failures >= MAX_FAILURES || nowMs < record.backoffUntilMs) return false;
  return nowMs - record.loadAtMs < CELL_TIMES.silentMs;
}
