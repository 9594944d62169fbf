import { CELL_TIMING } from './cell-timing.js';
import type { EngineRecord } from './engine-record.js';

/** Consecutive failed load reads after which an engine gets no new requests. */
const MAX_FAILED_POLLS = 2;

/** Returns true when an engine may get new requests: it is loaded, reports its load, and neither leaves nor backs off. */
export function isUsable(record: EngineRecord, nowMs: number): boolean {
  const { load } = record;
  if (load === undefined || load.leaving || load.loading) return false;
  if (record.leavingByHostList || record.leavingByReply) return false;
  if (record.failures >= MAX_FAILED_POLLS || nowMs < record.backoffUntilMs) return false;
  return nowMs - record.loadAtMs < CELL_TIMING.silentMs;
}
