import type { Refusal } from '@laburnumshift/types';

/**
 * Renders a refusal as the JSON error body of section 4.5 of the design page; the retry time is rounded up to whole
 * milliseconds.
 */
export function renderRefusal(refusal: Refusal, requestId: string): string {
  const { code, message, outcome, retryAfterMs } = refusal;
  const rounded = retryAfterMs === undefined ? undefined : Math.ceil(retryAfterMs);
  return JSON.stringify({ error: { code, message, outcome, retryAfterMs: rounded, requestId } });
}
