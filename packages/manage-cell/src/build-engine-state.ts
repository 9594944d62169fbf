import type { EngineState } from '@laburnumshift/place-request';
import type { Priority } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import type { EngineRecord } from './engine-record.js';
import { isUsable } from './is-usable.js';

const MS_PER_S = 1000;

/**
 * Builds the corrected state of an engine: the lagging report plus what was granted since, minus the older system's share.
 *
 * @param priority only work of this priority and above goes before a new request
 */
export function buildEngineState(
  state: CellState,
  record: EngineRecord,
  nowMs: number,
  priority: Priority,
): EngineState {
  const { load, server } = record;
  const own = 1 - Math.min(Math.max(load?.other_share ?? 0, 0), 1);
  const slots = Math.floor((load?.slots ?? server.slots) * own);
  const running = record.running.size + record.foreign;
  const rate = Math.max(record.prefillRate * own, 1);
  const backlogMs =
    (record.backlog.getTokens(priority, record.prefillRate, nowMs) / rate) * MS_PER_S * record.queueScale;
  const slotMs = running < slots ? 0 : ((running - slots + 1) / Math.max(slots, 1)) * record.runMs;
  let suspects = 0;
  for (const { fingerprint } of record.running.values()) {
    if (state.options.isSuspect(fingerprint)) suspects += 1;
  }
  return {
    name: server.name,
    url: server.url,
    weightVersion: load?.weight_version ?? '',
    usable: isUsable(record, nowMs) && slots > 0,
    suspects,
    running,
    slots,
    queueMs: backlogMs + slotMs,
    prefillTokensPerSecond: rate,
  };
}
