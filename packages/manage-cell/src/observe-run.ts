import type { RunReport } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import type { EngineRecord } from './engine-record.js';
import { estimateLink } from './estimate-link.js';
import type { RunningRequest } from './running-request.js';

const MS_PER_S = 1000;
/** Weight of the latest observation in exponential smoothing. */
const SMOOTHING_FACTOR = 0.2;
/** Prefills with fewer tokens are not used to estimate the rate, because fixed costs dominate their duration. */
const MIN_PREFILL_TOKENS = 500;
/** Estimated queue times from this on are used to correct the queue scale. */
const MIN_QUEUE_MS = 50;
/** Bounds of the queue scale and the rate scale, so that an outlier cannot exclude an engine or a link for long. */
const MIN_SCALE = 0.02;
const MAX_QUEUE_SCALE = 4;
/** Factor applied to a link's rate scale when an import failed. */
const FAILED_IMPORT_RATIO = 0.5;

/** Updates the rate and duration estimates of an engine, and of the links it imported over, from the report of a finished run. */
export function observeRun(
  state: CellState,
  record: EngineRecord,
  run: RunningRequest,
  report: RunReport,
  nowMs: number,
): void {
  const { decision } = run;
  record.meanRunMs += SMOOTHING_FACTOR * (nowMs - run.grantedAtMs - record.meanRunMs);
  const { firstTokenMs } = report;
  if (firstTokenMs === undefined) return;
  const error = Math.abs(firstTokenMs - report.estimateMs) / Math.max(report.estimateMs, 1);
  record.estimateError += SMOOTHING_FACTOR * (error - record.estimateError);
  state.options.metrics?.recordValue('cell_estimate_error', error);
  const decodeMs = nowMs - run.grantedAtMs - firstTokenMs;
  if (report.outputTokens > 1 && decodeMs > 0) {
    const rate = (report.outputTokens / decodeMs) * MS_PER_S;
    record.decodeRate += SMOOTHING_FACTOR * (rate - record.decodeRate);
  }
  const plannedImports = decision.importEnd - decision.headPieces;
  if (plannedImports > 0) {
    observeImports(state, run, report, firstTokenMs, nowMs);
    return;
  }
  if (decision.queueMs >= MIN_QUEUE_MS) {
    const ratio = Math.max(0, firstTokenMs - decision.prefillMs) / decision.queueMs;
    const scale = Math.min(Math.max(record.queueScale * ratio, MIN_SCALE), MAX_QUEUE_SCALE);
    record.queueScale += SMOOTHING_FACTOR * (scale - record.queueScale);
  } else if (report.computedTokens >= MIN_PREFILL_TOKENS && firstTokenMs > 0) {
    const rate = (report.computedTokens / firstTokenMs) * MS_PER_S;
    record.prefillRate += SMOOTHING_FACTOR * (rate - record.prefillRate);
  }
}

/** Updates the rate scale of the store links that a run imported pieces over. */
function observeImports(
  state: CellState,
  run: RunningRequest,
  report: RunReport,
  firstTokenMs: number,
  nowMs: number,
): void {
  const { decision, imports } = run;
  // The duration of a transfer shows only if it took longer than the prefill of the pieces before the imported ones.
  const remainderMs = decision.estimateMs - decision.queueMs - decision.transferMs;
  const transferMs = firstTokenMs - decision.queueMs - remainderMs;
  // A planned piece that the engine already had in its cache does not count as missing.
  const availablePieces = report.importedPieces + Math.max(0, report.cachedPieces - decision.cachedPieces);
  const missingPieces = imports.length - availablePieces;
  const failed = missingPieces > 0;
  // Missing pieces may have been freed, so the stores are listed again.
  for (const name of new Set(missingPieces > 0 ? imports.map((piece) => piece.store) : [])) {
    const store = state.stores.get(name);
    if (store !== undefined) store.listedAtMs = undefined;
  }
  if (!failed && (decision.transferMs <= 0 || remainderMs < 0)) return;
  const ratio = failed ? FAILED_IMPORT_RATIO : decision.transferMs / Math.max(transferMs, 1);
  for (const name of new Set(imports.map((piece) => piece.store))) {
    const store = state.stores.get(name);
    if (store === undefined) continue;
    const { queuedBytes, rateScale } = estimateLink(store, nowMs);
    const scale = Math.min(Math.max(rateScale * ratio, MIN_SCALE), 1);
    // A slow link delays every request that imports over it, so a lower rate applies at once and a higher one gradually.
    store.rateScale = scale < rateScale ? scale : rateScale + SMOOTHING_FACTOR * (scale - rateScale);
    store.rateScaleAtMs = nowMs;
    store.queuedBytes = queuedBytes;
    store.queuedAtMs = nowMs;
  }
}
