import type { CellState } from './cell-state.js';
import { CELL_TIMING } from './cell-timing.js';
import type { EngineRecord } from './engine-record.js';

const MAX_PREVIOUS_BOOT_IDS = 8;

/**
 * Excludes an engine from placement for an exponentially growing delay. After a crash its cache and its requests in flight are
 * lost, and the fingerprints of these requests are reported as suspects.
 */
export function recordEngineFailure(
  state: CellState,
  record: EngineRecord,
  crashed: boolean,
  nowMs: number,
): void {
  record.backoffUntilMs = nowMs + record.backoffMs;
  record.backoffMs = Math.min(record.backoffMs * 2, CELL_TIMING.maxBackoffMs);
  if (!crashed) return;
  const { options } = state;
  const { name } = record.server;
  const fingerprints = [...new Set([...record.running.values()].map((run) => run.fingerprint))];
  const bootId = record.load?.boot_id;
  if (bootId !== undefined) {
    record.previousBootIds.push(bootId);
    record.previousBootIds.splice(0, record.previousBootIds.length - MAX_PREVIOUS_BOOT_IDS);
  }
  // The engine is unusable until the first load report of its new process.
  record.load = undefined;
  record.running.clear();
  record.peakOwnRunning = 0;
  record.otherRunning = 0;
  record.backlog.clear();
  options.directory.removeEngine(name);
  options.metrics?.addCount('cell_engine_crashes', 1);
  options.logger.warn('engine crashed', { engine: name, inFlight: fingerprints.length });
  if (fingerprints.length > 0) options.onEngineCrash(fingerprints, name);
}
