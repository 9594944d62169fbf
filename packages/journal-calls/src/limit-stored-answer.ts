import type { CallAnswer } from '@laburnumshift/types';

/**
 * Returns the answer to store. One over `maxBytes` is reduced to its status and the header `x-answer-stored: false`.
 */
export function limitStoredAnswer(answer: CallAnswer, maxBytes: number): CallAnswer {
  const bytes = Buffer.byteLength(answer.body) + Buffer.byteLength(JSON.stringify(answer.headers));
  if (bytes <= maxBytes) return answer;
  return { status: answer.status, headers: { 'x-answer-stored': 'false' }, body: '' };
}
