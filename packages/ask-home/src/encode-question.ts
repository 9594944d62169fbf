import type { PlacementRequest } from '@laburnumshift/forward-types';
import type { z } from 'zod';
import type { QUESTION_SCHEMA } from './question-schema.js';

/** Encodes a question as the tuple of `QUESTION_SCHEMA`; absent values become null. */
export function encodeQuestion(question: PlacementRequest): z.infer<typeof QUESTION_SCHEMA> {
  const { prompt, account } = question;
  return [
    question.callId,
    question.service,
    prompt === undefined
      ? null
      : [
          prompt.model,
          prompt.inputTokens,
          prompt.maxOutputTokens,
          prompt.expectedOutputTokens ?? null,
          prompt.pieces.map(({ id, tokens }) => [id, tokens]),
        ],
    account === undefined ? null : [account.name, account.isIsolated],
    question.priority,
    question.targetMs,
    question.remainingMs,
    question.waitedMs,
    question.bodyBytes,
    question.failureDomain,
    question.isResend,
    [...question.excluded],
  ];
}
