import type { CostEstimator } from '@laburnumshift/estimate-cost';
import type { CallEstimate } from './call-estimate.js';
import type { SizedCall } from './sized-call.js';

/** Estimates the cost of a call. Changes nothing. */
export function estimateCall(
  costs: Pick<CostEstimator, 'estimateCallMs' | 'estimateOutput'>,
  { call, route, service, account, bodyBytes }: SizedCall,
): CallEstimate {
  const callKind = { service: service.name, route: route.name, method: call.method, bodyBytes };
  const outputKind = { route: route.name, account: account?.name };
  const hintTokens = call.prompt?.expectedOutputTokens;
  const expectedTokens = hintTokens === undefined ? 0 : costs.estimateOutput(outputKind, hintTokens);
  return {
    callKind,
    costMs: call.prompt === undefined ? costs.estimateCallMs(callKind) : undefined,
    outputKind,
    hintTokens,
    expectedTokens,
    prompt: call.prompt && {
      ...call.prompt,
      ...(hintTokens !== undefined && { expectedOutputTokens: expectedTokens }),
    },
  };
}
