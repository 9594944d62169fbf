import type { CellState } from './cell-state.js';
import { CELL_TIMES } from './cell-times.js';
import type { EngineRecord } from './engine-record.js';

const PAST_BOOT_IDS = 8;

/** Excludes an engine for a while. After a crash its cache and its requests in flight are gone and these become suspects. */
export function failEngine(state: CellState, record: EngineRecord, crashed: boolean, nowMs: number): void {
  record.backoffUntilMs = nowMs + record.backoffMs;
  record.backoffMs = Math.min(record.backoffMs * 2, CELL_TIMES.maxBackoffMs);
  if (!crashed) return;
  const { options } = state;
  const { name } = record.server;
  const fingerprints = [...new Set([...record.running.values()].map((run) => run.fingerprint))];
  const bootId = record.load?.boot_id;
  if (bootId !== undefined) {
    record.pastBootIds.push(bootId);
    record.pastBootIds.splice(0, record.pastBootIds.length - PAST_BOOT_IDS);
  }
  // Unusable until the next load report shows the new process.
  record.load = undefined;
  record.running.clear();
  record.ownPeak = 0;
  record.foreign = 0;
  record.backlog.clear();
  options.directory.removeEngine(name);
  options.metrics?.addCount('cell_engine_crashes', 1);
  options.logger.warn('engine crashed', { engine: name, inFlight: fingerprints.length });
  if (fingerprints.length > 0) options.onCrash(fingerprints, name);
}
