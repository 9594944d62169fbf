import { CHARACTERS_PER_TOKEN } from './characters-per-token.js';

/** Splits a prompt into texts of `pieceTokens` estimated tokens each; the last one may be shorter. */
export function splitPrompt(prompt: string, pieceTokens: number): string[] {
  const size = pieceTokens * CHARACTERS_PER_TOKEN;
  const texts: string[] = [];
  for (let start = 0; start < prompt.length; start += size) {
    texts.push(prompt.slice(start, start + size));
  }
  return texts;
}
