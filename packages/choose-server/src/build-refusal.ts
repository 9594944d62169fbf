import type { ServerChoice } from './server-choice.js';
import type { RefusalCause } from './refusal-cause.js';

/** Builds a refusal whose logged reason is the text of its cause. `retryAfterMs` is in milliseconds. */
export function buildRefusal(
  cause: RefusalCause,
  retryAfterMs: number,
): Extract<ServerChoice, { kind: 'refuse' }> {
  return { kind: 'refuse', cause, reason: cause, retryAfterMs };
}
