import type { CostEstimator } from '@laburnumshift/estimate-cost';
import type { CallEstimate } from './call-estimate.js';
import type { SizedCall } from './sized-call.js';

/** Estimates the cost of a call. Changes nothing. */
export function estimateCall(
  costs: Pick<CostEstimator, 'estimateCallMs'>,
  { call, route, service, bodyBytes }: SizedCall,
): CallEstimate {
  const callKind = { service: service.name, route: route.name, method: call.method, bodyBytes };
  return { callKind, costMs: call.prompt === undefined ? costs.estimateCallMs(callKind) : undefined };
}
