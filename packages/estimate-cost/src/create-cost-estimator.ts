import { computeServiceMs } from './compute-service-ms.js';
import type { CostEstimator } from './cost-estimator.js';
import { createMeanTable } from './create-mean-table.js';
import type { PlainCallKind } from './plain-call-kind.js';

/** Base of the size classes of bodies: bodies of one class differ in size by at most this factor. */
const SIZE_CLASS_BASE = 4;

const buildKey = ({ service, route, method, bodyBytes }: PlainCallKind): string =>
  JSON.stringify([service, route, method, Math.floor(Math.log(1 + bodyBytes) / Math.log(SIZE_CLASS_BASE))]);

/** Creates an estimator that has learned nothing. */
export function createCostEstimator(): CostEstimator {
  const kindMeans = createMeanTable();
  const serviceMeans = createMeanTable();
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
  };
}
