import { computeServiceMs } from './compute-service-ms.js';
import type { CostEstimator } from './cost-estimator.js';
import { createMeanTable } from './create-mean-table.js';
import type { OutputKind } from './output-kind.js';
import type { PlainCallKind } from './plain-call-kind.js';

/** Base of the size classes of bodies: bodies of one class differ in size by at most this factor. */
const SIZE_CLASS_BASE = 4;

/** Least number of calls of a kind for an average, which differ by a factor of five. */
const MIN_CALLS = 4;
/** Weight of the newest call in an average: about the last 20 calls count. */
const CALL_WEIGHT = 0.05;
/** Least number of outputs for an average, and weight of the newest: their squares are spread much wider than the times of calls. */
const MIN_OUTPUTS = 20;
const OUTPUT_WEIGHT = 0.02;
/** Largest output counted, as a multiple of the estimate, so that one odd estimate does not decide the average. */
const MAX_OUTPUT_RATIO = 10;
/**
 * Ratio of the mean square to the square of the mean of outputs for which the fixed share of the memory estimate (0.7 of the output,
 * where growing output takes 0.5) holds.
 */
const USUAL_SPREAD = 1.4;
/**
 * Bounds of the correction. An event may carry several tokens, so fewer events than tokens were estimated do not show that an output is
 * short; the lower bound keeps such engines from being filled beyond their memory.
 */
const MIN_CORRECTION = 0.75;
const MAX_CORRECTION = 4;

const buildOutputKey = ({ route, account }: OutputKind): string => JSON.stringify([route, account]);
const buildKey = ({ service, route, method, bodyBytes }: PlainCallKind): string =>
  JSON.stringify([service, route, method, Math.floor(Math.log(1 + bodyBytes) / Math.log(SIZE_CLASS_BASE))]);

/** Creates an estimator that has learned nothing. */
export function createCostEstimator(): CostEstimator {
  const kindMeans = createMeanTable(MIN_CALLS, CALL_WEIGHT);
  const serviceMeans = createMeanTable(MIN_CALLS, CALL_WEIGHT);
  /** Means of the ratio of output to estimate, and of its square. */
  const ratioMeans = createMeanTable(MIN_OUTPUTS, OUTPUT_WEIGHT);
  const squareMeans = createMeanTable(MIN_OUTPUTS, OUTPUT_WEIGHT);
  return {
    estimateCallMs: (kind) => kindMeans.getMean(buildKey(kind)) ?? serviceMeans.getMean(kind.service),
    getServiceMs: serviceMeans.getMean,
    observeCall: (kind, timing) => {
      const ms = computeServiceMs(timing);
      if (ms === undefined) return undefined;
      kindMeans.addValue(buildKey(kind), ms);
      serviceMeans.addValue(kind.service, ms);
      return ms;
    },
    estimateOutput: (kind, hintTokens) => {
      const key = buildOutputKey(kind);
      const ratio = ratioMeans.getMean(key);
      const square = squareMeans.getMean(key);
      if (ratio === undefined || square === undefined || ratio <= 0) return hintTokens;
      const correction = square / ratio / USUAL_SPREAD;
      return hintTokens * Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, correction));
    },
    observeOutput: (kind, hintTokens, outputTokens) => {
      if (!(hintTokens > 0) || !(outputTokens >= 0)) return;
      const key = buildOutputKey(kind);
      const ratio = Math.min(MAX_OUTPUT_RATIO, outputTokens / hintTokens);
      ratioMeans.addValue(key, ratio);
      squareMeans.addValue(key, ratio ** 2);
    },
  };
}
