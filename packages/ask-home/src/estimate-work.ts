import type { ServerChoice } from '@laburnumshift/choose-server';
import type { PlacementRequest } from '@laburnumshift/forward-types';
import { estimateHeldTokens } from '@laburnumshift/place-calls';
import type { CallWork } from '@laburnumshift/track-engines';

/** Estimates the load of a placed call on its server. */
export function estimateWork(
  { prompt, costMs }: PlacementRequest,
  { uncachedTokens }: Extract<ServerChoice, { kind: 'server' }>,
): CallWork {
  return {
    uncachedTokens,
    totalTokens: prompt === undefined ? 0 : estimateHeldTokens(prompt),
    expectedMs: costMs,
  };
}
