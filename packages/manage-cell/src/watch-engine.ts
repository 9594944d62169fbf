import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { renderPeerError } from '@laburnumshift/errors';
import { applyLoad } from './apply-load.js';
import type { CellState } from './cell-state.js';
import { CELL_TIMING } from './cell-timing.js';
import type { EngineRecord } from './engine-record.js';
import { recordEngineFailure } from './record-engine-failure.js';
import { isStopped } from './is-stopped.js';

/**
 * Consecutive unreachable load reads that count as a crash. A single refused connection may be due to a full accept backlog; a
 * second one means that the process has ended.
 */
const UNREACHABLE_POLLS_FOR_CRASH = 2;

/** Reads an engine's load reports and cache events, and detects crashes, until its record is stopped. */
export async function watchEngine(state: CellState, record: EngineRecord): Promise<void> {
  await Promise.all([pollLoad(state, record), watchCacheEvents(state, record)]);
}

async function pollLoad(state: CellState, record: EngineRecord): Promise<void> {
  const { signal } = record.abortController;
  let unreachablePolls = 0;
  while (!isStopped(record)) {
    const result = await record.client.readLoad();
    if (isStopped(record)) return;
    const nowMs = readMonotonicMs();
    if (result.ok) {
      unreachablePolls = 0;
      const lastBootId = record.load?.boot_id;
      if (lastBootId !== undefined && lastBootId !== result.value.boot_id) {
        recordEngineFailure(state, record, true, nowMs);
        record.backoffUntilMs = 0;
      }
      applyLoad(record, result.value, nowMs);
    } else {
      record.failures += 1;
      unreachablePolls = result.error.kind === 'unreachable' ? unreachablePolls + 1 : 0;
      if (result.error.kind === 'leaving') record.leavingByReply = true;
      if (unreachablePolls === UNREACHABLE_POLLS_FOR_CRASH) recordEngineFailure(state, record, true, nowMs);
      state.options.logger.debug('could not read the load of an engine', {
        engine: record.server.name,
        reason: renderPeerError(result.error),
      });
    }
    state.grantWaiting();
    await sleep(
      Math.max(CELL_TIMING.loadPollIntervalMs, state.engines.size * CELL_TIMING.loadPollMsPerEngine),
      signal,
    );
  }
}

async function watchCacheEvents(state: CellState, record: EngineRecord): Promise<void> {
  const { signal } = record.abortController;
  let retryDelayMs: number = CELL_TIMING.eventRetryDelayMs;
  let covered: { readonly seq: number; readonly bootId: string; readonly listedAtMs: number } | undefined;
  while (!isStopped(record)) {
    const startMs = readMonotonicMs();
    try {
      const bootId = record.load?.boot_id ?? '';
      // A list of all pieces is large, so after an idle timeout or a disconnect the stream resumes from the last event of the same
      // process.
      if (covered?.bootId !== bootId || startMs - covered.listedAtMs > CELL_TIMING.engineListIntervalMs) {
        const seq = await listCachedPieces(state, record);
        covered = seq === undefined ? undefined : { seq, bootId, listedAtMs: startMs };
      }
      if (covered !== undefined)
        covered = { ...covered, seq: await applyEvents(state, record, covered.seq, bootId) };
    } catch (error) {
      covered = undefined;
      state.options.logger.debug('stream of cache events failed', {
        engine: record.server.name,
        reason: String(error),
      });
    }
    // A new connection may list all pieces, so the retry delay doubles while the engine keeps ending the stream.
    const isStable = readMonotonicMs() - startMs > CELL_TIMING.maxBackoffMs;
    retryDelayMs = isStable
      ? CELL_TIMING.eventRetryDelayMs
      : Math.min(retryDelayMs * 2, CELL_TIMING.maxBackoffMs);
    await sleep(retryDelayMs, signal);
  }
}

/**
 * Applies cache events to the directory until the stream ends. After a gap in the sequence numbers all pieces are listed again.
 *
 * @returns the last sequence number that the directory includes
 * @throws when the stream fails, or the pieces cannot be listed after a gap
 */
async function applyEvents(
  state: CellState,
  record: EngineRecord,
  since: number,
  bootId: string,
): Promise<number> {
  const { signal } = record.abortController;
  let last = since;
  for await (const event of record.client.watchEvents(since, signal)) {
    // A new process restarts its sequence numbers, so its pieces have to be listed.
    const isNewBoot = bootId !== '' && record.load !== undefined && record.load.boot_id !== bootId;
    if (isStopped(record) || isNewBoot) return last;
    last = Math.max(last, event.seq);
    if (state.options.directory.applyEvent(record.server.name, event) === 'gap') {
      state.options.metrics?.addCount('cell_event_gaps', 1);
      const seq = await listCachedPieces(state, record);
      if (seq === undefined)
        throw new Error('the engine did not list its pieces after a gap in the cache events');
      last = Math.max(last, seq);
    }
  }
  return last;
}

async function listCachedPieces(state: CellState, record: EngineRecord): Promise<number | undefined> {
  const result = await record.client.listPieces();
  if (!result.ok || isStopped(record)) return undefined;
  state.options.directory.replaceEngine(record.server.name, result.value.seq, result.value.pieces);
  return result.value.seq;
}
