import type { CallResponse } from '@laburnumshift/types';

/**
 * Returns the answer to store. One over `maxBytes` is reduced to its status and the header `x-answer-stored: false`.
 */
export function limitStoredAnswer(answer: CallResponse, maxBytes: number): CallResponse {
  const bytes = Buffer.byteLength(answer.body) + Buffer.byteLength(JSON.stringify(answer.headers));
  if (bytes <= maxBytes) return answer;
  return { status: answer.status, headers: { 'x-answer-stored': 'false' }, body: '' };
}
