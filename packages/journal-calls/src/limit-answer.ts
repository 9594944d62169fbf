import type { CallAnswer } from '@laburnumshift/types';

/** Bounds a stored answer. A larger one keeps its status only, with `x-answer-stored: false` and no body. */
export function limitAnswer(answer: CallAnswer, maxBytes: number): CallAnswer {
  const bytes = Buffer.byteLength(answer.body) + Buffer.byteLength(JSON.stringify(answer.headers));
  if (bytes <= maxBytes) return answer;
  return { status: answer.status, headers: { 'x-answer-stored': 'false' }, body: '' };
}
