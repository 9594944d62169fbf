import type { z } from 'zod';
import type { ANSWER_SCHEMA } from './answer-schema.js';
import type { PlacementAnswer } from './placement-answer.js';

/** Encodes an answer as the tuple of `ANSWER_SCHEMA`; absent values become null. */
export function encodeAnswer(answer: PlacementAnswer): z.infer<typeof ANSWER_SCHEMA> {
  if (answer.kind === 'refuse') return ['refuse', answer.cause, answer.reason, answer.retryAfterMs];
  if (answer.kind !== 'server') return [answer.kind];
  const { transfers } = answer;
  return [
    'server',
    answer.server,
    answer.bornMs,
    answer.uncachedTokens,
    answer.queueTokens,
    answer.expectedMs,
    answer.memoryShare ?? null,
    answer.fetch === undefined ? null : [answer.fetch.source, answer.fetch.tokens],
    transfers === undefined
      ? null
      : [
          transfers.fetchFrom.map((address) => address ?? null),
          transfers.saveTo.map((address) => address ?? null),
          transfers.fetchUntilMs ?? null,
        ],
    answer.version ?? null,
  ];
}
