import { computeAnswerToken } from './compute-answer-token.js';

/** Computes the texts of the answer's tokens from `offset` on. */
export function computeAnswer(model: string, prompt: string, maxTokens: number, offset = 0): string[] {
  const texts: string[] = [];
  for (let index = offset; index < maxTokens; index += 1) {
    texts.push(computeAnswerToken(model, prompt, index));
  }
  return texts;
}
