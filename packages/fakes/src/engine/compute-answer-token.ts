import { createHash } from 'node:crypto';

/** Hexadecimal digits of a token's text. */
const DIGITS = 6;

/**
 * Computes the text of output token `index`. It depends on model, prompt and index alone, so that tests can check whole answers
 * and resumptions.
 */
export function computeAnswerToken(model: string, prompt: string, index: number): string {
  const seed = createHash('sha256')
    .update(JSON.stringify([model, prompt]))
    .digest();
  const digest = createHash('sha256').update(seed).update(String(index)).digest('hex');
  return `${digest.slice(0, DIGITS)} `;
}
