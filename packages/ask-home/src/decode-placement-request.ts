import type { PlacementRequest } from '@laburnumshift/forward-types';
import { PLACEMENT_REQUEST_SCHEMA } from './placement-request-schema.js';

/** Decodes a placement request; returns `undefined` when it does not match `PLACEMENT_REQUEST_SCHEMA`. */
export function decodePlacementRequest(value: unknown): PlacementRequest | undefined {
  const parsed = PLACEMENT_REQUEST_SCHEMA.safeParse(value);
  if (!parsed.success) return undefined;
  const [callId, service, prompt, cacheOwner, priority, targetMs, ...rest] = parsed.data;
  const [remainingMs, waitedMs, bodyBytes, failureDomain, isResend, excluded, costMs] = rest;
  return {
    callId,
    service,
    prompt:
      prompt === null
        ? undefined
        : {
            model: prompt[0],
            inputTokens: prompt[1],
            maxOutputTokens: prompt[2],
            expectedOutputTokens: prompt[3] ?? undefined,
            pieces: prompt[4].map(([id, tokens]) => ({ id, tokens })),
          },
    cacheOwner,
    priority,
    targetMs,
    remainingMs,
    waitedMs,
    bodyBytes,
    failureDomain,
    isResend,
    excluded,
    ...(costMs !== undefined && { costMs }),
  };
}
