import { createAnswer } from './create-answer.js';

/** Computes the text of one output token. */
export function computeAnswerToken(model: string, prompt: string, index: number): string {
  return createAnswer(model, prompt)(index);
}
