import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { renderPeerError } from '@laburnumshift/errors';
import { applyLoad } from './apply-load.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';
import type { EngineRecord } from './engine-record.js';
import { failEngine } from './fail-engine.js';
import { isStopped } from './is-stopped.js';

/** One refused connection may be a full backlog; the second in a row means that the process is gone. */
const UNREACHABLE_CRASH = 2;

/** Follows an engine until its record is stopped: load reports, boot id changes and cache events. */
export async function watchEngine(state: CellState, record: EngineRecord): Promise<void> {
  await Promise.all([pollLoad(state, record), pollEvents(state, record)]);
}

async function pollLoad(state: CellState, record: EngineRecord): Promise<void> {
  const { signal } = record.stopper;
  let unreachable = 0;
  while (!isStopped(record)) {
    const result = await record.client.readLoad();
    if (isStopped(record)) return;
    const nowMs = readMonotonicMs();
    if (result.ok) {
      unreachable = 0;
      const lastBootId = record.load?.boot_id;
      if (lastBootId !== undefined && lastBootId !== result.value.boot_id) {
        failEngine(state, record, true, nowMs);
        record.backoffUntilMs = 0;
      }
      applyLoad(record, result.value, nowMs);
    } else {
      record.failures += 1;
      unreachable = result.error.kind === 'unreachable' ? unreachable + 1 : 0;
      if (result.error.kind === 'leaving') record.leavingSeen = true;
      if (unreachable === UNREACHABLE_CRASH) failEngine(state, record, true, nowMs);
      state.options.logger.debug('load not read', {
        engine: record.server.name,
        reason: renderPeerError(result.error),
      });
    }
    state.grantWaiting();
    await sleep(Math.max(CELL_TIMES.loadEveryMs, state.engines.size * CELL_TIMES.loadEngineMs), signal);
  }
}

async function pollEvents(state: CellState, record: EngineRecord): Promise<void> {
  const { signal } = record.stopper;
  let pauseMs: number = CELL_TIMES.eventRetryMs;
  let known: { readonly seq: number; readonly bootId: string; readonly listedAtMs: number } | undefined;
  while (!isStopped(record)) {
    const beganMs = readMonotonicMs();
    try {
      const bootId = record.load?.boot_id ?? '';
      // A list of all pieces is large, so a stream that was idle or cut goes on from the last event of the same process.
      if (known?.bootId !== bootId || beganMs - known.listedAtMs > CELL_TIMES.relistMs) {
        const seq = await resyncPieces(state, record);
        known = seq === undefined ? undefined : { seq, bootId, listedAtMs: beganMs };
      }
      if (known !== undefined) known = { ...known, seq: await applyEvents(state, record, known.seq, bootId) };
    } catch (error) {
      known = undefined;
      state.options.logger.debug('cache events ended', { engine: record.server.name, reason: String(error) });
    }
    // Each connection lists all pieces, so an engine that keeps ending the stream is asked less and less often.
    const isStable = readMonotonicMs() - beganMs > CELL_TIMES.maxBackoffMs;
    pauseMs = isStable ? CELL_TIMES.eventRetryMs : Math.min(pauseMs * 2, CELL_TIMES.maxBackoffMs);
    await sleep(pauseMs, signal);
  }
}

/**
 * Applies events until the stream ends; a gap is repaired by listing the pieces.
 *
 * @returns the last sequence number that the directory covers
 */
async function applyEvents(
  state: CellState,
  record: EngineRecord,
  since: number,
  bootId: string,
): Promise<number> {
  const { signal } = record.stopper;
  let last = since;
  for await (const event of record.client.watchEvents(since, signal)) {
    // The numbers of a new process begin anew, so its pieces have to be listed.
    const isNewBoot = bootId !== '' && record.load !== undefined && record.load.boot_id !== bootId;
    if (isStopped(record) || isNewBoot) return last;
    last = Math.max(last, event.seq);
    if (state.options.directory.applyEvent(record.server.name, event) === 'gap') {
      state.options.metrics?.addCount('cell_event_gaps', 1);
      const seq = await resyncPieces(state, record);
      if (seq === undefined) throw new Error('the pieces could not be listed after a gap');
      last = Math.max(last, seq);
    }
  }
  return last;
}

async function resyncPieces(state: CellState, record: EngineRecord): Promise<number | undefined> {
  const result = await record.client.listPieces();
  if (!result.ok || isStopped(record)) return undefined;
  state.options.directory.replaceEngine(record.server.name, result.value.seq, result.value.pieces);
  return result.value.seq;
}
