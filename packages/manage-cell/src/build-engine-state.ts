import type { EngineState } from '@laburnumshift/place-request';
import type { Priority } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import type { EngineRecord } from './engine-record.js';
import { isUsable } from './is-usable.js';

const MS_PER_S = 1000;

/**
 * Builds the placement input of an engine from its last load report, the requests granted since then, and the share of the
 * engine that the older system uses, which is not available to this cell.
 *
 * @param priority priority of the new request; only work of this priority or a higher one delays it
 */
export function buildEngineState(
  state: CellState,
  record: EngineRecord,
  nowMs: number,
  priority: Priority,
): EngineState {
  const { load, server } = record;
  const ownShare = 1 - Math.min(Math.max(load?.other_share ?? 0, 0), 1);
  const slots = Math.floor((load?.slots ?? server.slots) * ownShare);
  const running = record.running.size + record.otherRunning;
  const rate = Math.max(record.prefillRate * ownShare, 1);
  const backlogMs =
    (record.backlog.getTokensAhead(priority, record.prefillRate, nowMs) / rate) *
    MS_PER_S *
    record.queueScale;
  const slotMs = running < slots ? 0 : ((running - slots + 1) / Math.max(slots, 1)) * record.meanRunMs;
  let suspects = 0;
  for (const { fingerprint } of record.running.values()) {
    if (state.options.isSuspect(fingerprint)) suspects += 1;
  }
  return {
    name: server.name,
    url: server.url,
    weightVersion: load?.weight_version ?? '',
    usable: isUsable(record, nowMs) && slots > 0,
    suspectsInFlight: suspects,
    running,
    slots,
    queueMs: backlogMs + slotMs,
    prefillTokensPerSecond: rate,
  };
}
