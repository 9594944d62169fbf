import { createHash } from 'node:crypto';

/** Hexadecimal digits of a token's text. */
const DIGITS = 6;

/**
 * Creates the answer to a prompt, as a function from the output index to the token's text. The text depends on model, prompt and
 * index alone, so that tests can check whole answers and resumptions. The prompt is hashed once, because it may be long.
 */
export function createAnswer(model: string, prompt: string): (index: number) => string {
  const seed = createHash('sha256')
    .update(JSON.stringify([model, prompt]))
    .digest();
  return (index) => {
    const digest = createHash('sha256').update(seed).update(String(index)).digest('hex');
    return `${digest.slice(0, DIGITS)} `;
  };
}
