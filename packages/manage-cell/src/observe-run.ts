import type { RunReport } from '@laburnumshift/types';
import type { CellState } from './cell-state.js';
import type { EngineRecord } from './engine-record.js';
import { estimateLink } from './estimate-link.js';
import type { RunningRequest } from './running-request.js';

const MS_PER_S = 1000;
/** Weight of the latest observation. */
const GAIN = 0.2;
/** Shorter prefills are dominated by fixed costs and say little about the rate. */
const MIN_TOKENS = 500;
const MIN_QUEUE_MS = 50;
/** The scales stay within these bounds, so that one odd run cannot exclude an engine or a link for long. */
const MIN_SCALE = 0.02;
const MAX_QUEUE_SCALE = 4;
/** Part of the learned rate that is kept when an import failed. */
const FAILED_IMPORT = 0.5;

/** Corrects rates and estimates by what a run took. */
export function observeRun(
  state: CellState,
  record: EngineRecord,
  run: RunningRequest,
  report: RunReport,
  nowMs: number,
): void {
  const { decision } = run;
  record.runMs += GAIN * (nowMs - run.grantedAtMs - record.runMs);
  const { firstTokenMs } = report;
  if (firstTokenMs === undefined) return;
  const error = Math.abs(firstTokenMs - report.estimateMs) / Math.max(report.estimateMs, 1);
  record.estimateError += GAIN * (error - record.estimateError);
  state.options.metrics?.recordValue('cell_estimate_error', error);
  const decodeMs = nowMs - run.grantedAtMs - firstTokenMs;
  if (report.outputTokens > 1 && decodeMs > 0) {
    const rate = (report.outputTokens / decodeMs) * MS_PER_S;
    record.decodeRate += GAIN * (rate - record.decodeRate);
  }
  const planned = decision.importEnd - decision.headPieces;
  if (planned > 0) {
    observeImports(state, run, report, firstTokenMs, nowMs);
    return;
  }
  if (decision.queueMs >= MIN_QUEUE_MS) {
    const ratio = Math.max(0, firstTokenMs - decision.prefillMs) / decision.queueMs;
    const scale = Math.min(Math.max(record.queueScale * ratio, MIN_SCALE), MAX_QUEUE_SCALE);
    record.queueScale += GAIN * (scale - record.queueScale);
  } else if (report.computedTokens >= MIN_TOKENS && firstTokenMs > 0) {
    const rate = (report.computedTokens / firstTokenMs) * MS_PER_S;
    record.prefillRate += GAIN * (rate - record.prefillRate);
  }
}

/** Corrects the rate of the links that a run imported from. */
function observeImports(
  state: CellState,
  run: RunningRequest,
  report: RunReport,
  firstTokenMs: number,
  nowMs: number,
): void {
  const { decision, imports } = run;
  // Only a transfer that outlasted the head shows its duration.
  const restMs = decision.estimateMs - decision.queueMs - decision.transferMs;
  const transferMs = firstTokenMs - decision.queueMs - restMs;
  // The engine may have had a planned piece in its cache, which is no miss.
  const known = report.importedPieces + Math.max(0, report.cachedPieces - decision.cachedPieces);
  const missed = imports.length - known;
  const failed = missed > 0;
  // The missing pieces may have been freed; a new list shows it.
  for (const name of new Set(missed > 0 ? imports.map((piece) => piece.store) : [])) {
    const store = state.stores.get(name);
    if (store !== undefined) store.listedAtMs = undefined;
  }
  if (!failed && (decision.transferMs <= 0 || restMs < 0)) return;
  const ratio = failed ? FAILED_IMPORT : decision.transferMs / Math.max(transferMs, 1);
  for (const name of new Set(imports.map((piece) => piece.store))) {
    const store = state.stores.get(name);
    if (store === undefined) continue;
    const { queuedBytes, rateScale } = estimateLink(store, nowMs);
    const scale = Math.min(Math.max(rateScale * ratio, MIN_SCALE), 1);
    // A slow link costs every request that waits for it, so bad news counts at once and good news slowly.
    store.rateScale = scale < rateScale ? scale : rateScale + GAIN * (scale - rateScale);
    store.scaledAtMs = nowMs;
    store.queuedBytes = queuedBytes;
    store.queuedAtMs = nowMs;
  }
}
