import { createAnswer } from './create-answer.js';

/** Computes the texts of the answer's tokens from `offset` on. */
export function computeAnswer(model: string, prompt: string, maxTokens: number, offset = 0): string[] {
  const getText = createAnswer(model, prompt);
  return Array.from({ length: Math.max(0, maxTokens - offset) }, (_, index) => getText(offset + index));
}
