/** Characters of English text per token, on average; the system estimates token counts without a tokenizer. */
export const CHARACTERS_PER_TOKEN = 4;
