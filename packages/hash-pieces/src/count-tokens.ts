import { CHARACTERS_PER_TOKEN } from './characters-per-token.js';

/** Estimates the token count of a text. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
