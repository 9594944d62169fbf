import { CHARACTERS_PER_TOKEN } from './characters-per-token.js';

/** Estimates the number of tokens in a text, rounded up. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
