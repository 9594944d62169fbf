import type { PromptPart } from './prompt-part.js';

const CHARACTERS_PER_TOKEN = 4;

/** Builds the text of a prompt; equal parts at equal places give equal text. */
export function buildPrompt(parts: readonly PromptPart[]): string {
  return parts
    .map(({ name, tokens }) => {
      const length = tokens * CHARACTERS_PER_TOKEN;
      return `${name}; `.repeat(Math.ceil(length / (name.length + 2))).slice(0, length);
    })
    .join('');
}
