import type { PlacementRequest } from '@laburnumshift/forward-types';
import type { z } from 'zod';
import type { PLACEMENT_REQUEST_SCHEMA } from './placement-request-schema.js';

/** Encodes a placement request as the tuple of `PLACEMENT_REQUEST_SCHEMA`; absent values become null. */
export function encodePlacementRequest(request: PlacementRequest): z.infer<typeof PLACEMENT_REQUEST_SCHEMA> {
  const { prompt, costMs } = request;
  // Hosts of earlier versions read only requests without this member.
  const cost: [] | [number] = costMs === undefined ? [] : [costMs];
  return [
    request.callId,
    request.service,
    prompt === undefined
      ? null
      : [
          prompt.model,
          prompt.inputTokens,
          prompt.maxOutputTokens,
          prompt.expectedOutputTokens ?? null,
          prompt.pieces.map(({ id, tokens }) => [id, tokens]),
        ],
    request.cacheOwner,
    request.priority,
    request.targetMs,
    request.remainingMs,
    request.waitedMs,
    request.bodyBytes,
    request.failureDomain,
    request.isResend,
    [...request.excluded],
    ...cost,
  ];
}
